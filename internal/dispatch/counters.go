package dispatch

import "sync/atomic"

// counters counts the operations of a Dispatcher. Arrays are indexed by class.
type counters struct {
	acquired [2]atomic.Uint64
	refused  [2]atomic.Uint64
	// queued counts the requests that an owner put into its queue.
	queued atomic.Uint64
	// silentOwners counts the reserve messages without a usable answer: the
	// replica has no owner, or its owner did not answer or does not know it.
	silentOwners atomic.Uint64
	// unowned counts the slots that were then taken without the owner.
	unowned atomic.Uint64
	// moved counts the reservations whose owner changed.
	moved atomic.Uint64
}
