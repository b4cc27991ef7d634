package placement

import "time"

const (
	// sampleWindow is the least time over which the rate of completed requests
	// is measured.
	sampleWindow = 500 * time.Millisecond
	// sampleDecay is the weight of earlier samples in the moving average.
	sampleDecay = 0.7
	// minServiceTime is the least estimate: one of 0 would not be told from none.
	minServiceTime = time.Millisecond
)

// serviceTimeEstimator estimates how long a request occupies its slot. By
// Little's law this is the number of slots in use divided by the rate of
// completed requests.
type serviceTimeEstimator struct {
	grantedSinceSample int // since the last sample
	busyAtSample       int // at the last sample
	nodesAtSample      int // ledger.nodeChanges at the last sample
	sampledAt          time.Time
	// busy is the number of slots in use at the last tick, and slotSeconds the time for
	// which slots were in use since the last sample.
	busy        int
	slotSeconds float64
	updatedAt   time.Time
	mean        float64 // seconds; 0 until the first estimate
}

// sample updates the estimate if a sample window has passed. It is called on each tick.
// busy is the number of requests that occupy or have been granted a slot. A window in
// which nodes with work came or went, as nodeChanges tells, is skipped: their requests
// were granted or end elsewhere.
func (e *serviceTimeEstimator) sample(busy, nodeChanges int, now time.Time) {
	if !e.updatedAt.IsZero() {
		e.slotSeconds += float64(busy) * now.Sub(e.updatedAt).Seconds()
	}
	e.updatedAt, e.busy = now, busy
	elapsed := now.Sub(e.sampledAt)
	if elapsed < sampleWindow {
		return
	}
	ended := e.ended()
	if !e.sampledAt.IsZero() && ended > 0 && elapsed < 2*sampleWindow && nodeChanges == e.nodesAtSample {
		measured := max(e.slotSeconds/float64(ended), minServiceTime.Seconds())
		if e.mean == 0 {
			e.mean = measured
		}
		e.mean = sampleDecay*e.mean + (1-sampleDecay)*measured
	}
	e.grantedSinceSample, e.busyAtSample, e.nodesAtSample, e.sampledAt, e.slotSeconds = 0, busy, nodeChanges, now, 0
}

// measured returns the estimate, or 0 until there is one.
func (e *serviceTimeEstimator) measured() time.Duration { return inSeconds(e.mean) }

// adopt takes over the estimate of another hub, if there is one.
func (e *serviceTimeEstimator) adopt(estimate time.Duration) { e.mean = estimate.Seconds() }

// ended returns the number of requests that have ended since the last sample.
func (e *serviceTimeEstimator) ended() int {
	return e.grantedSinceSample - (e.busy - e.busyAtSample)
}

// seconds returns the estimate. Until there is one, it is the time that requests have
// occupied their slots so far, or 0: an estimate from nothing would reject short requests
// that the replicas can take.
func (e *serviceTimeEstimator) seconds() float64 {
	if e.mean > 0 {
		return e.mean
	}
	return e.slotSeconds / float64(max(1, e.busy, e.ended()))
}
