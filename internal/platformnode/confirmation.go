package platformnode

import (
	"sync"
	"time"
)

// confirmation is when peers last confirmed that the configuration of this node was the
// newest: the time of the latest answer of the store to one of them. It may be before the
// start of the process.
type confirmation struct {
	mu     sync.Mutex
	latest time.Time
}

// confirm records that the configuration was the newest at a time.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.latest) {
		c.latest = at
	}
}

// at returns the latest time before now at which the configuration was the newest. ok is
// false if there is none.
func (c *confirmation) at(now time.Time) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest, !c.latest.IsZero() && !c.latest.After(now)
}
