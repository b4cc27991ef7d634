package placement

import "time"

// forecast is what a request that waits can expect.
type forecast struct {
	// throughput is the number of online requests a second that the replicas take, and
	// spare what of it the demand of the last seconds leaves. spareInside is what the
	// demand inside the shares of the organisations leaves.
	throughput, spare, spareInside float64
}

func (s *scheduler) forecast() forecast {
	throughput := s.throughput()
	return forecast{
		throughput: throughput, spare: max(0, throughput-s.demand.perSecond),
		spareInside: max(0, throughput-s.demandInside.perSecond),
	}
}

// wait returns the expected wait of a request that has a number of others before it,
// and the wait if no others came. A request that can start on time is passed by none
// that come after it, but one that cannot is passed by all that still can. What is inside
// the share of its organisation is passed by nothing that is not.
func (f forecast) wait(before int, q *queuedRequest, now time.Time) (expected, least time.Duration) {
	least = inSeconds(float64(before+1) / f.throughput)
	if q.urgent || q.returning || !now.Add(least).After(q.startBy) {
		return least, least
	}
	if q.excess == 0 {
		return inSeconds(float64(before+1) / f.spareInside), least
	}
	return inSeconds(float64(before+1) / f.spare), least
}

// inSeconds returns a duration of at most an hour.
func inSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}
