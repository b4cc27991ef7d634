package dispatch

import "sync/atomic"

// counters counts what a Dispatcher did. Arrays are indexed by class.
type counters struct {
	acquired [2]atomic.Uint64
	refused  [2]atomic.Uint64
	queued   atomic.Uint64
	silent   atomic.Uint64
	unowned  atomic.Uint64
	moved    atomic.Uint64
}
