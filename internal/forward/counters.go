package forward

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Counters are the metrics of the request path.
type Counters struct {
	scope    tally.Scope
	inFlight atomic.Int64
}

// latencyBuckets cover the usual objectives (300 ms) and deadlines (5 s).
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

// NewCounters returns counters that report to the scope.
func NewCounters(scope tally.Scope) *Counters { return &Counters{scope: scope} }

// Begin counts a request in progress.
func (c *Counters) Begin() { c.inFlight.Add(1) }

// InFlight returns the number of requests in progress.
func (c *Counters) InFlight() int64 { return c.inFlight.Load() }

// End records the outcome of a request.
func (c *Counters) End(route string, outcome Outcome, took time.Duration) {
	c.inFlight.Add(-1)
	tagged := c.scope.Tagged(map[string]string{"route": route, "outcome": string(outcome)})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request_latency", latencyBuckets).RecordDuration(took)
}

// RefuseBody counts a request that was refused because of its body.
func (c *Counters) RefuseBody(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_bodies_refused").Inc(1)
}
