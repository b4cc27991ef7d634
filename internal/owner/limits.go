package owner

import "time"

// Limits bounds the use of one replica.
type Limits struct {
	// Slots is the number of reservations granted at once.
	Slots int
	// QueueLimit bounds the waiters of each class; 0 means that none may wait.
	QueueLimit int
	// BatchHeadroom is the number of slots that batch leaves free.
	BatchHeadroom int
	// ProbeInterval is the time between test requests to a slow replica.
	ProbeInterval time.Duration
	// Closed refuses all requests: the replica is leaving or down.
	Closed bool
}

// minSlotsForLongCap is the fewest slots of a replica at which some are kept
// from long requests. With fewer, one slot is too large a share of capacity.
const minSlotsForLongCap = 4

// batchCap returns the number of slots up to which batch may fill the replica.
// It is at least 1, because a headroom that covers all slots would leave
// batch work stuck for ever; preemption still yields that slot to online work.
func (l Limits) batchCap() int {
	if l.Slots <= 0 {
		return 0
	}
	return max(1, l.Slots-max(0, l.BatchHeadroom))
}

// longCap returns the number of slots that long online requests may hold. A
// quarter is kept for short ones, so that long ones cannot take all slots.
func (l Limits) longCap() int {
	if l.Slots < minSlotsForLongCap {
		return l.Slots
	}
	return l.Slots - max(1, l.Slots/4)
}
