package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// maxRejectedWait bounds the wait that is told to a rejected caller, unless the requests
// before it take longer. When there is no end in sight, it should come back while it
// still has time for an attempt.
const maxRejectedWait = 1200 * time.Millisecond

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
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedRequest) bool { return q.version != nil && !s.placeable(q) }) // its node asks again, and is told then
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
	s.observeDemand(q)
	s.rejected.add(q.identity, now)
	return min(expected, max(least, maxRejectedWait))
}
