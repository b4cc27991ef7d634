package route

import (
	"slices"
	"time"
)

const (
	// smoothingFactor is the weight of a new observation in a moving average.
	smoothingFactor = 0.2
	// minObservations is the number of observations below which a latency is
	// ignored.
	minObservations = 5
	// maxFailures is the number of consecutive failures after which a replica is
	// ejected.
	maxFailures = 3
	// outlierFactor times the ejection ratio times the median is the upper bound
	// of one observation, so that one long request does not eject its replica.
	outlierFactor = 2.0
	// minExcess is the smallest difference from the median that counts as slow.
	// Below it the ratio reflects scheduling noise.
	minExcess = 5 * time.Millisecond
	// probesToReadmit is the number of passed probes after which an ejected
	// replica gets its full share of requests again.
	probesToReadmit = 3
	// maxBackoff is the largest factor of the ejection duration, which doubles
	// with each failed probe.
	maxBackoff = 8
	// onlineProbeDelay is how long after the ejection duration only batch work is
	// used as a probe. After that, online work is used too.
	onlineProbeDelay = 2 * time.Second
)

// health is the record of a replica's latency and failures at this node.
type health struct {
	firstToken   movingAverage
	perToken     movingAverage
	failures     int
	passedProbes int
	// backoff is the factor of the ejection duration of the next ejection.
	backoff int
}

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct {
	value float64
	count int
}

// add adds an observation. A limit above 0 is the upper bound of its value.
func (m *movingAverage) add(v, limit float64) {
	if limit > 0 {
		v = min(v, limit)
	}
	m.count++
	if m.count == 1 {
		m.value = v
		return
	}
	m.value += smoothingFactor * (v - m.value)
}

// isSlow reports whether the average exceeds ratio times the median, by more
// than minExcess and with enough observations.
func (m *movingAverage) isSlow(median, ratio float64) bool {
	return m.count >= minObservations && median > 0 && m.value > ratio*median &&
		m.value-median > float64(minExcess)
}

// median returns the median of the averages that have enough observations, or 0
// if there are fewer than two of them.
func median(group []*Replica, of func(*Replica) *movingAverage) float64 {
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

func firstTokenOf(r *Replica) *movingAverage { return &r.state.health.firstToken }
func perTokenOf(r *Replica) *movingAverage   { return &r.state.health.perToken }
