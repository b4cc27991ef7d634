package owner

import "gentiantide.example/gentiantide/internal/core"

// Counts returns the online and batch reservations in use on a replica and the
// online requests that wait for it.
func (s *Service) Counts(replica core.ReplicaID) (inUse, queued int) {
	g := s.find(replica)
	if g == nil {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.ledger.Load()
	return load.InUse, load.Queued
}
