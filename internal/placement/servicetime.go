package placement

import "time"

const (
	// sampleWindow is the least time over which the rate of completed requests
	// is measured.
	sampleWindow = 500 * time.Millisecond
	// sampleDecay is the weight of earlier samples in the moving average.
	sampleDecay = 0.7
	// defaultServiceTime is assumed until requests have completed; a stream
	// takes about 0.8 s.
	defaultServiceTime = 800 * time.Millisecond
)

// serviceTimeEstimator estimates how long a request occupies its slot. By
// Little's law this is the number of slots in use divided by the rate of
// completed requests.
type serviceTimeEstimator struct {
	grantedSinceSample int // since the last sample
	busyAtSample       int // at the last sample
	nodesAtSample      int // ledger.nodeChanges at the last sample
	sampledAt          time.Time
	mean               float64 // seconds; 0 until the first estimate
}

// sample updates the estimate if a sample window has passed. busy is the number
// of requests that occupy or have been granted a slot. A window in which nodes
// came or went, as nodeChanges tells, is skipped: their requests were granted or
// end elsewhere.
func (e *serviceTimeEstimator) sample(busy, nodeChanges int, now time.Time) {
	elapsed := now.Sub(e.sampledAt)
	if elapsed < sampleWindow {
		return
	}
	ended := e.grantedSinceSample - (busy - e.busyAtSample)
	if !e.sampledAt.IsZero() && ended > 0 && elapsed < 2*sampleWindow && nodeChanges == e.nodesAtSample {
		measured := float64(busy+e.busyAtSample) / 2 * elapsed.Seconds() / float64(ended)
		if e.mean == 0 {
			e.mean = measured
		}
		e.mean = sampleDecay*e.mean + (1-sampleDecay)*measured
	}
	e.grantedSinceSample, e.busyAtSample, e.nodesAtSample, e.sampledAt = 0, busy, nodeChanges, now
}

// measured returns the estimate, or 0 until there is one.
func (e *serviceTimeEstimator) measured() time.Duration { return inSeconds(e.mean) }

// adopt takes over the estimate of another hub, if there is one.
func (e *serviceTimeEstimator) adopt(estimate time.Duration) { e.mean = estimate.Seconds() }

// seconds returns the estimate, or the default until there is one.
func (e *serviceTimeEstimator) seconds() float64 {
	if e.mean == 0 {
		return defaultServiceTime.Seconds()
	}
	return e.mean
}
