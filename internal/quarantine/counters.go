package quarantine

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// counters are the metrics of the quarantine.
type counters struct {
	// refused counts requests that were refused, suspects the runs of this node that
	// were reported because their replica crashed.
	refused, suspects tally.Counter
	// parts is the number of quarantined parts.
	parts tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		refused: scope.Counter("quarantine_refusals"), suspects: scope.Counter("quarantine_suspects"), parts: scope.Gauge("quarantined_parts"),
	}
}

func (c *counters) update(l *list, now time.Time) {
	n := 0
	for _, e := range l.all(now) {
		if e.active() {
			n++
		}
	}
	c.parts.Update(float64(n))
}
