package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// probeTimeout is how long a test request counts as on its way if its end is
// never reported.
const probeTimeout = 30 * time.Second

// probes coordinates the test requests of all nodes to one replica. Without
// that, each node would send its own to a slow replica, and together these are
// enough requests to show in the 99th percentile.
type probes struct {
	id    core.ReservationID // on its way; empty if none is
	begun time.Time
	ended time.Time
	good  bool
}

// allow reports whether a test request may be sent: one at a time, and after
// one that was not good only when the interval is over.
func (p *probes) allow(now time.Time, interval time.Duration) bool {
	if p.id != "" && now.Sub(p.begun) < probeTimeout {
		return false
	}
	return p.good || p.ended.IsZero() || now.Sub(p.ended) >= interval
}

func (p *probes) begin(id core.ReservationID, now time.Time) { p.id, p.begun = id, now }

func (p *probes) end(id core.ReservationID, good bool, now time.Time) {
	if p.id == id {
		p.id, p.ended, p.good = "", now, good
	}
}
