package dispatch

import "sync/atomic"

// counters counts the operations of a Dispatcher. Arrays are indexed by class.
type counters struct {
	acquired     [2]atomic.Uint64
	refused      [2]atomic.Uint64
	queued       atomic.Uint64
	silentOwners atomic.Uint64
	unowned      atomic.Uint64
	moved        atomic.Uint64
}
