package platformnode

import (
	"sync/atomic"
	"time"
)

// confirmation is when peers last confirmed that the configuration of this node was the
// newest: the time of the latest answer of the store to one of them. It may be before the
// start of the process.
type confirmation struct{ latest atomic.Pointer[time.Time] }

// confirm records that the configuration was the newest at a time.
func (c *confirmation) confirm(at time.Time) {
	for {
		known := c.latest.Load()
		if known != nil && !at.After(*known) || c.latest.CompareAndSwap(known, &at) {
			return
		}
	}
}

// at returns the latest time before now at which the configuration was the newest. ok is
// false if there is none.
func (c *confirmation) at(now time.Time) (at time.Time, ok bool) {
	known := c.latest.Load()
	if known == nil || known.After(now) {
		return time.Time{}, false
	}
	return *known, true
}
