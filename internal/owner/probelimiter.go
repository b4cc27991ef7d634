package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// probeTimeout is how long a probe counts as in flight if its end is never
// reported.
const probeTimeout = 30 * time.Second

// probeLimiter limits the probes that all nodes send to one replica. Without it,
// each node would probe a slow replica on its own, and together these are enough
// slow requests to raise the 99th percentile.
type probeLimiter struct {
	id        core.ReservationID // the probe in flight; empty if there is none
	startedAt time.Time
	endedAt   time.Time
	passed    bool
}

// allow reports whether a probe may be sent: one at a time, and after a failed
// probe only once the interval has passed.
func (p *probeLimiter) allow(now time.Time, interval time.Duration) bool {
	if p.id != "" && now.Sub(p.startedAt) < probeTimeout {
		return false
	}
	return p.passed || p.endedAt.IsZero() || now.Sub(p.endedAt) >= interval
}

func (p *probeLimiter) start(id core.ReservationID, now time.Time) { p.id, p.startedAt = id, now }

func (p *probeLimiter) finish(id core.ReservationID, passed bool, now time.Time) {
	if p.id == id {
		p.id, p.endedAt, p.passed = "", now, passed
	}
}
