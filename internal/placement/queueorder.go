package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// newRequest returns a request with the account of its organisation, which is told of it.
func (s *scheduler) newRequest(node core.NodeID, req *placementRequest, now time.Time) *queuedRequest {
	t := s.turnsOf(req.Batch)
	a, cost := t.account(req.Org, req.Weight), t.cost(req.Tokens)
	a.demand.observe(cost)
	q := newQueuedRequest(node, req, a, cost, now)
	if !t.binding() || a.share <= 0 {
		q.priority = 0
		return q
	}
	if t.busy(now) {
		q.excess = t.excess(a, s.costAhead(q, now))
	}
	return q
}

// turnsOf returns the turns of online requests or of items.
func (s *scheduler) turnsOf(batch bool) *turns {
	if batch {
		return s.itemTurns
	}
	return s.onlineTurns
}

// costAhead returns the cost of what its organisation is granted before a new request.
func (s *scheduler) costAhead(q *queuedRequest, now time.Time) float64 {
	sum, late := 0.0, q.late(now)
	for _, o := range s.queue {
		if o.account == q.account && o.charged() && (q.batch || late || !o.late(now)) {
			sum += o.cost
		}
	}
	return sum
}

// charged reports whether a request counts as a turn of its organisation. A resumed stream
// does not: the organisation did not ask for it.
func (q *queuedRequest) charged() bool { return !q.urgent }

// charge records that a request was granted a slot, if others wait or waited just before.
func (s *scheduler) charge(q *queuedRequest, now time.Time) {
	if t := s.turnsOf(q.batch); q.charged() && t.busy(now) {
		t.charge(q.account, q.cost)
	}
}

// observeDemand counts an online request that was granted a slot or rejected.
func (s *scheduler) observeDemand(q *queuedRequest) {
	s.demand.observe()
	if q.excess == 0 {
		s.demandInside.observe()
	}
}

// enqueue appends a request to the queue.
func (s *scheduler) enqueue(q *queuedRequest, now time.Time) {
	s.turnsOf(q.batch).waits(now)
	s.queue = append(s.queue, q)
}

// sortQueue brings the queue in the order in which slots are granted.
func (s *scheduler) sortQueue(now time.Time) {
	for _, q := range s.queue {
		q.lateAtSort = q.late(now)
	}
	s.updateExcess(now)
	slices.SortStableFunc(s.queue, func(a, b *queuedRequest) int { return a.compare(b, a.lateAtSort, b.lateAtSort) })
}

// updateExcess computes the excess of all that wait. Within an organisation, what is late
// comes behind what is not, and otherwise the requests are in their order of before.
func (s *scheduler) updateExcess(now time.Time) {
	if !s.onlineTurns.binding() && !s.itemTurns.binding() {
		for _, q := range s.queue {
			q.excess = 0
		}
		return
	}
	online, items := false, false
	for _, q := range s.queue {
		q.account.waiting = 0
		online, items = online || !q.batch, items || q.batch
	}
	if online {
		s.onlineTurns.waits(now)
	}
	if items {
		s.itemTurns.waits(now)
	}
	for _, last := range []bool{false, true} {
		for _, q := range s.queue {
			if q.last() == last {
				q.excess = s.turnsOf(q.batch).excess(q.account, q.account.waiting)
				if q.charged() {
					q.account.waiting += q.cost
				}
			}
		}
	}
}

// last reports whether the request comes behind the others of its organisation.
func (q *queuedRequest) last() bool {
	if q.batch {
		return q.willMissDue
	}
	return q.lateAtSort
}

// numBeyondShare returns how many of the requests that wait exceed the share of their
// organisation.
func (s *scheduler) numBeyondShare() int {
	n := 0
	for _, q := range s.queue {
		if q.excess > 0 {
			n++
		}
	}
	return n
}
