package route

import (
	"slices"
	"time"
)

const (
	// healthGain is the weight of a new observation.
	healthGain = 0.2
	// minObservations is the fewest observations that speed is judged by.
	minObservations = 5
	// maxFailures is the number of consecutive failures that eject a replica.
	maxFailures = 3
	// outlierFactor times the ejection ratio times the median bounds one
	// observation, so that one long call does not eject its replica.
	outlierFactor = 2.0
	// minExcess is the least difference to the median that counts as slow;
	// below it, ratios are noise of the scheduler.
	minExcess = 5 * time.Millisecond
	// probesToReturn is the number of good test requests after which an
	// ejected replica gets its full share again.
	probesToReturn = 3
	// maxBackoff bounds the doubling of the ejection time of a replica that
	// fails its test requests.
	maxBackoff = 8
	// onlineProbeDelay is how much longer an ejected replica waits for a test
	// request of batch work before online work is used.
	onlineProbeDelay = 2 * time.Second
)

// health is the record of a replica's speed and failures at this node.
type health struct {
	firstToken metric
	perToken   metric
	failures   int
	probes     int
	// backoff is the multiple of the ejection time of the next ejection.
	backoff int
}

// metric is a moving average of durations.
type metric struct {
	value float64
	count int
}

// add adds an observation, bounded by limit unless that is 0.
func (m *metric) add(v, limit float64) {
	if limit > 0 {
		v = min(v, limit)
	}
	m.count++
	if m.count == 1 {
		m.value = v
		return
	}
	m.value += healthGain * (v - m.value)
}

// slow reports whether the metric exceeds the ratio to the median.
func (m *metric) slow(median, ratio float64) bool {
	return m.count >= minObservations && median > 0 && m.value > ratio*median &&
		m.value-median > float64(minExcess)
}

// median returns the median of the metrics with enough observations, or 0 if
// fewer than two have.
func median(group []*Replica, of func(*Replica) *metric) float64 {
	values := make([]float64, 0, len(group))
	for _, r := range group {
		if m := of(r); m.count >= minObservations {
			values = append(values, m.value)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func firstTokenOf(r *Replica) *metric { return &r.state.health.firstToken }
func perTokenOf(r *Replica) *metric   { return &r.state.health.perToken }
