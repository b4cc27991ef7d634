package owner

import "gentiantide.example/gentiantide/internal/core"

// EventKind says what happened to a reservation.
type EventKind uint8

const (
	// EventGranted gives a waiter its slot.
	EventGranted EventKind = iota + 1
	// EventExpired ends a waiter whose deadline passed; it was not run.
	EventExpired
	// EventEvicted ends a waiter that had to give up its place in the queue;
	// it was not run and may ask another replica.
	EventEvicted
	// EventPreempted asks the holder of a batch reservation for its slot.
	EventPreempted
	// EventLost tells a waiter that the owner does not know it; it asks again.
	EventLost
)

// String returns the lower-case name of the kind.
func (k EventKind) String() string {
	switch k {
	case EventGranted:
		return "granted"
	case EventExpired:
		return "expired"
	case EventEvicted:
		return "evicted"
	case EventPreempted:
		return "preempted"
	case EventLost:
		return "lost"
	default:
		return "unknown"
	}
}

// Event is a later message of the ledger to the holder of a reservation.
type Event struct {
	Kind   EventKind
	ID     core.ReservationID
	Holder core.NodeID
}
