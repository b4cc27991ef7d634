package placement

import (
	"math"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// demandWindow is the time over which the demand is averaged. It spans the bursts of
	// usual loads: what waits in one is served after it.
	demandWindow = 8 * time.Second
	// maxRejectedWait bounds the wait that is told to a rejected caller, unless the
	// requests before it take longer. When there is no end in sight, it should come back
	// while it still has time for an attempt.
	maxRejectedWait = 1200 * time.Millisecond
	// rejectedRetention is how long the hub remembers a rejected request, and
	// maxRejected how many.
	rejectedRetention = 6 * time.Second
	maxRejected       = 4096
)

// demand is a moving average of the rate of online requests that were placed or
// rejected, in requests a second. Those that wait are counted by their number.
type demand struct {
	perSecond float64
	updatedAt time.Time
	recent    int // requests since the last update
}

func (d *demand) observe() { d.recent++ }

func (d *demand) update(now time.Time) {
	d.perSecond *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
	d.perSecond += float64(d.recent) / demandWindow.Seconds()
	d.updatedAt, d.recent = now, 0
}

// rejectedRequests remembers the requests that were rejected lately, so that they are
// not rejected again when their callers return.
type rejectedRequests map[uint64]time.Time

func (r rejectedRequests) add(identity uint64, now time.Time) {
	if identity != 0 && len(r) < maxRejected {
		r[identity] = now
	}
}

// take reports whether a request was rejected before, and forgets it.
func (r rejectedRequests) take(identity uint64, now time.Time) bool {
	at, ok := r[identity]
	delete(r, identity)
	return ok && now.Sub(at) <= rejectedRetention
}

func (r rejectedRequests) expire(now time.Time) {
	for identity, at := range r {
		if now.Sub(at) > rejectedRetention {
			delete(r, identity)
		}
	}
}

// forecast is what a request that waits can expect.
type forecast struct {
	// throughput is the number of online requests a second that the replicas take, and
	// spare what of it the demand of the last seconds leaves.
	throughput, spare float64
}

func (s *scheduler) forecast() forecast {
	throughput := s.throughput()
	return forecast{throughput: throughput, spare: max(0, throughput-s.demand.perSecond)}
}

// wait returns the expected wait of a request that has a number of others before it,
// and the wait if no others came. A request that can start on time is passed by none
// that come after it, but one that cannot is passed by all that still can.
func (f forecast) wait(before int, q *queuedRequest, now time.Time) (expected, least time.Duration) {
	least = inSeconds(float64(before+1) / f.throughput)
	if q.urgent || q.returning || !now.Add(least).After(q.startBy) {
		return least, least
	}
	return inSeconds(float64(before+1) / f.spare), least
}

// inSeconds returns a duration of at most an hour.
func inSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// hopeless reports whether the caller of a request gives up before its expected start.
func (q *queuedRequest) hopeless(wait time.Duration, now time.Time) bool {
	return !q.batch && now.Add(wait).After(q.abandonedAt)
}

// rejection is a queued request that is rejected.
type rejection struct {
	node core.NodeID
	id   uint64
	wait time.Duration
}

// rejectHopeless removes from the queue the requests that will not be served before
// their callers give up: others have come before them since they were queued, or the
// replicas take less than was expected.
func (s *scheduler) rejectHopeless(now time.Time) []rejection {
	if len(s.queue) == 0 {
		return nil
	}
	s.sortQueue(now)
	f, before := s.forecast(), 0
	var out []rejection
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedRequest) bool {
		expected, least := f.wait(before, q, now)
		if !q.hopeless(expected, now) {
			before++
			return false
		}
		out = append(out, rejection{node: q.node, id: q.id, wait: s.recordRejection(q, expected, least, now)})
		return true
	})
	return out
}

// recordRejection remembers a rejected request and returns the wait to tell its caller.
func (s *scheduler) recordRejection(q *queuedRequest, expected, least time.Duration, now time.Time) time.Duration {
	s.demand.observe()
	s.rejected.add(q.identity, now)
	return min(expected, max(least, maxRejectedWait))
}
