package owner

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// Counts returns the use of a replica, for the node's heartbeat.
func (s *Service) Counts(replica core.ReplicaID) directory.Counts {
	g := s.find(replica)
	if g == nil {
		return directory.Counts{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.ledger.Load()
	return directory.Counts{InUse: load.InUse, Batch: load.Batch, Queued: load.Queued}
}
