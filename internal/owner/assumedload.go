package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// assumedLoadTimeout is how long a new owner counts the slots that the previous
// owner published as in use and that no holder has registered yet. All holders
// see the change of owner within about one heartbeat.
const assumedLoadTimeout = time.Second

// assumedLoad counts, by class, the reservations that holders are expected to
// register with a new owner.
type assumedLoad struct {
	count [2]int
	until time.Time
}

// AssumeInUse makes the ledger of a new owner count the slots that the previous
// owner published as in use, until their holders register them.
func (l *Ledger) AssumeInUse(online, batch int, now time.Time) {
	l.assumed = assumedLoad{count: [2]int{max(0, online), max(0, batch)}, until: now.Add(assumedLoadTimeout)}
}

// subtract removes one reservation, which its holder has now registered.
func (a *assumedLoad) subtract(class core.Class) { a.count[class] = max(0, a.count[class]-1) }

// expire resets the counts after the timeout.
func (a *assumedLoad) expire(now time.Time) {
	if !now.Before(a.until) {
		a.count = [2]int{}
	}
}
