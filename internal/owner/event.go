package owner

import "gentiantide.example/gentiantide/internal/core"

// EventKind is the kind of a state change of a reservation.
type EventKind uint8

const (
	// EventGranted gives a waiting request its slot.
	EventGranted EventKind = iota + 1
	// EventExpired ends a waiting request whose deadline passed; it was not run.
	EventExpired
	// EventEvicted removes a waiting request from the queue; it was not run and
	// the holder may ask for another replica.
	EventEvicted
	// EventPreempted asks the holder of a batch reservation to release its slot.
	EventPreempted
	// EventLost tells the holder that the owner has no record of a waiting
	// request; the holder sends it again.
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

// Event notifies the holder of a reservation of a change after the immediate
// answer.
type Event struct {
	Kind   EventKind
	ID     core.ReservationID
	Holder core.NodeID
}
