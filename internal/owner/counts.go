package owner

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// Counts returns the slots in use and the queue length of a replica, for the
// node's heartbeat. They are 0 if the node has no ledger for it.
func (s *Service) Counts(replica core.ReplicaID) directory.Counts {
	l := s.existingLedger(replica)
	if l == nil {
		return directory.Counts{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.ledger.Load()
	return directory.Counts{InUse: load.InUse, Batch: load.Batch, Queued: load.Queued}
}
