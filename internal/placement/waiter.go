package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// onTimeShare is the part of its objective that a request may wait and still
// begin in time. The rest is for the first token: 40 ms as a rule, 100 ms beside
// a busy neighbour.
const onTimeShare = 0.5

// waiter is a request that found no free slot.
type waiter struct {
	node core.NodeID
	id   uint64
	dc   core.DataCentre
	not  []core.ReplicaID
	// since is when the request arrived at its node.
	since time.Time
	// lateAt is when it can no longer begin in time, goneAt when its caller
	// leaves.
	lateAt time.Time
	goneAt time.Time
	urgent bool
	// batch is set for an item of a job, which is due at dueAt or is late.
	batch   bool
	dueAt   time.Time
	dueLate bool
}

func newWaiter(node core.NodeID, a *ask, now time.Time) *waiter {
	since := now.Add(-a.Waited)
	return &waiter{
		node: node, id: a.ID, dc: a.DataCentre, not: a.Not, since: since, urgent: a.Urgent,
		lateAt: since.Add(time.Duration(float64(a.Objective) * onTimeShare)),
		goneAt: since.Add(a.Patience),
		batch:  a.Batch, dueAt: now.Add(a.DueIn), dueLate: a.Late,
	}
}

// before reports whether w gets a slot before o: streams that go on first, then
// requests that can still begin in time, then the others, each by arrival. A
// request that is late anyway takes no slot from one that is not. Items of jobs
// come last, in the order in which they are due, late ones behind the others.
func (w *waiter) before(o *waiter, now time.Time) bool {
	if w.batch != o.batch {
		return o.batch
	}
	if w.batch && w.dueLate != o.dueLate {
		return o.dueLate
	}
	if w.batch {
		return w.dueAt.Before(o.dueAt)
	}
	if w.urgent != o.urgent {
		return w.urgent
	}
	if a, b := w.late(now), o.late(now); a != b {
		return b
	}
	return w.since.Before(o.since)
}

func (w *waiter) late(now time.Time) bool { return now.After(w.lateAt) }

// excludes reports whether the request must not go to a replica.
func (w *waiter) excludes(id core.ReplicaID) bool { return slices.Contains(w.not, id) }
