package relay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
)

// metrics holds the metrics of a Relay.
type metrics struct {
	scope      tally.Scope
	requests   tally.Counter
	retries    tally.Counter
	resumes    tally.Counter
	hedges     tally.Counter
	preempted  tally.Counter
	firstToken tally.Histogram
}

// firstTokenBuckets range from 10 ms to about 20 s.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:      scope,
		requests:   scope.Counter("requests"),
		retries:    scope.Counter("retries"),
		resumes:    scope.Counter("resumes"),
		hedges:     scope.Counter("hedges"),
		preempted:  scope.Counter("preempted"),
		firstToken: scope.Histogram("first_token", firstTokenBuckets),
	}
}

func (m *metrics) countRefusal(code core.Code) {
	m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refusals").Inc(1)
}

func (m *metrics) countRetry(action retryAction) {
	switch action {
	case actionRetry:
		m.retries.Inc(1)
	case actionResume:
		m.resumes.Inc(1)
	case actionReacquire:
		m.preempted.Inc(1)
	}
}
