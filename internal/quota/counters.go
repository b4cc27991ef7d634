package quota

import "github.com/uber-go/tally/v4"

// counters are the metrics of the limits.
type counters struct {
	admitted, refused, alone, asks, unanswered, passed tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	requests := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("limit_requests")
	}
	return &counters{
		admitted: requests("admitted"), refused: requests("refused"), alone: requests("admitted_alone"),
		asks: scope.Counter("limit_asks"), unanswered: scope.Counter("limit_asks_unanswered"), passed: scope.Counter("limit_passes"),
	}
}
