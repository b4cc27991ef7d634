package placement

import "time"

// Victim describes the item of a node that is preempted first at a replica.
type Victim struct {
	// Due is when the item is due, on the store's clock. Late is set if it cannot
	// be done by then.
	Due  time.Duration
	Late bool
}

// Before reports whether the item is preempted before another: items that will be
// late anyway first, then those with the latest due time.
func (v Victim) Before(o Victim) bool {
	if v.Late != o.Late {
		return v.Late
	}
	return v.Due > o.Due
}
