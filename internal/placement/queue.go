package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/promptcache"
)

// onTimeShare is the fraction of its objective that a request may wait and
// still be on time. The rest is left for the first token, which usually takes
// 40 ms, and 100 ms if the replica shares its machine with a busy one.
const onTimeShare = 0.5

// queuedRequest is a request that is to be placed or is queued for a free slot.
type queuedRequest struct {
	node     core.NodeID
	id       uint64
	dc       core.DataCentre
	excluded map[core.ReplicaID]bool
	// version, if set, is the version of the software that the replica must have.
	version *core.SoftwareVersion
	// arrivedAt is when the request arrived at its node.
	arrivedAt time.Time
	// startBy is the latest start that is on time. abandonedAt is when the
	// caller gives up.
	startBy     time.Time
	abandonedAt time.Time
	urgent      bool
	// repeatable is set if the request may be run again when its run fails.
	repeatable bool
	identity   uint64
	// returning is set if the request was rejected and its caller has sent it again.
	returning bool
	// batch is set for an item of a job, which is due at dueAt. willMissDue is
	// set if it cannot be done by then.
	batch       bool
	dueAt       time.Time
	willMissDue bool
	// prompt are the parts of its prompt, if replicas keep some, and tokens what it
	// occupies at a replica.
	prompt []promptcache.Part
	tokens int
	// account is that of its organisation, priority its rank and cost what it costs a
	// server, in turns. excess is by how much it is beyond the share of the organisation,
	// see turns; it changes while the request waits.
	account  *account
	priority int
	cost     float64
	excess   float64
	// lateAtSort is set if the request was late when the queue was last sorted.
	lateAtSort bool
}

func newQueuedRequest(node core.NodeID, req *placementRequest, a *account, cost float64, now time.Time) *queuedRequest {
	arrivedAt := now.Add(-req.Waited)
	excluded := make(map[core.ReplicaID]bool, len(req.Excluded))
	for _, id := range req.Excluded {
		excluded[id] = true
	}
	return &queuedRequest{
		node: node, id: req.ID, dc: req.DataCentre, excluded: excluded, version: req.Version, arrivedAt: arrivedAt, urgent: req.Urgent, repeatable: req.Repeatable || req.Batch, identity: req.Identity,
		startBy:     arrivedAt.Add(time.Duration(float64(req.Objective) * onTimeShare)),
		abandonedAt: arrivedAt.Add(req.MaxWait),
		batch:       req.Batch, dueAt: now.Add(req.DueIn), willMissDue: req.Late,
		prompt: req.Prompt, tokens: req.Tokens,
		account: a, priority: req.Priority, cost: cost,
	}
}

// before reports whether q gets a slot before o. Resumed streams come first, then
// requests that were rejected before, whose callers may not come a third time, then those
// inside the share of their organisation, then the others. Of both, requests that can
// still start on time come before late ones, as a request that is late anyway takes no
// slot from one that is not; then the excess decides, then priority, then the arrival.
// Items of jobs come last, and those that will miss their due time behind the other
// items: those inside the share of their organisation by their due time, then the others
// by their excess.
func (q *queuedRequest) before(o *queuedRequest, now time.Time) bool {
	return q.compare(o, q.late(now), o.late(now)) < 0
}

// compare is before as a comparison, if it is known which of the two are late.
func (q *queuedRequest) compare(o *queuedRequest, late, otherLate bool) int {
	switch {
	case q.batch != o.batch:
		return first(o.batch)
	case q.batch && q.willMissDue != o.willMissDue:
		return first(o.willMissDue)
	case q.batch && q.excess != o.excess:
		return first(q.excess < o.excess)
	case q.batch:
		return q.dueAt.Compare(o.dueAt)
	case q.urgent != o.urgent:
		return first(q.urgent)
	case q.goesFirst() != o.goesFirst():
		return first(q.goesFirst())
	case (q.excess == 0) != (o.excess == 0):
		return first(q.excess == 0)
	case late != otherLate:
		return first(otherLate)
	case q.excess != o.excess:
		return first(q.excess < o.excess)
	case q.priority != o.priority && q.excess == 0:
		return first(q.priority < o.priority)
	}
	return q.arrivedAt.Compare(o.arrivedAt)
}

// first returns the result of a comparison of two requests of which one comes first.
func first(isFirst bool) int {
	if isFirst {
		return -1
	}
	return 1
}

// goesFirst reports whether the request is one that was rejected before and goes before
// fresh ones. What exceeds the share of its organisation does not by coming again.
func (q *queuedRequest) goesFirst() bool { return q.returning && q.excess == 0 }

func (q *queuedRequest) late(now time.Time) bool { return now.After(q.startBy) }

// excludes reports whether the request must not go to a replica.
func (q *queuedRequest) excludes(r *replicaSlots) bool {
	return q.excluded[r.id] || q.version != nil && *q.version != r.version
}
