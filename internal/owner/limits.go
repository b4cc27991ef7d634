package owner

import "time"

// Limits bounds the use of one replica.
type Limits struct {
	// Slots is the number of reservations that may be held at the same time.
	Slots int
	// QueueLimit is the maximum number of waiters of each class; 0 means that
	// no request may wait.
	QueueLimit int
	// BatchHeadroom is the number of slots that batch work leaves free.
	BatchHeadroom int
	// ProbeInterval is the minimum time between a failed probe of an ejected
	// replica and the next probe.
	ProbeInterval time.Duration
	// Closed refuses all requests: the replica is unknown, drained, leaving or
	// down.
	Closed bool
}

// minSlotsForLongCap is the smallest number of slots at which some are reserved
// for short requests. With fewer, one slot is too large a share of the capacity.
const minSlotsForLongCap = 4

// batchCap returns the number of slots in use below which batch work may be
// granted another. It is at least 1 if there are slots, because with a headroom
// of all slots batch work would never run; online work still preempts that slot.
func (l Limits) batchCap() int {
	if l.Slots <= 0 {
		return 0
	}
	return max(1, l.Slots-max(0, l.BatchHeadroom))
}

// longCap returns the number of slots that long online requests may hold. A
// quarter of the slots is reserved for short requests.
func (l Limits) longCap() int {
	if l.Slots < minSlotsForLongCap {
		return l.Slots
	}
	return l.Slots - max(1, l.Slots/4)
}
