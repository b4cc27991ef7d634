package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// assumedTime is how long a new owner counts the slots that the last owner
// published as in use and that no holder has registered yet. The holders see
// the move of the ownership within about one heartbeat of each other.
const assumedTime = time.Second

// assumed counts, by class, reservations that holders are expected to register.
type assumed struct {
	count [2]int
	until time.Time
}

// Assume makes the ledger of a new owner count reservations that were in use
// by the last owner's publication until their holders register them.
func (l *Ledger) Assume(online, batch int, now time.Time) {
	l.assumed = assumed{count: [2]int{max(0, online), max(0, batch)}, until: now.Add(assumedTime)}
}

// arrived takes off one reservation that was registered or released.
func (a *assumed) arrived(class core.Class) { a.count[class] = max(0, a.count[class]-1) }

// expire ends the assumption when its time is over.
func (a *assumed) expire(now time.Time) {
	if !now.Before(a.until) {
		a.count = [2]int{}
	}
}
