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
	identity    uint64
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
}

func newQueuedRequest(node core.NodeID, req *placementRequest, now time.Time) *queuedRequest {
	arrivedAt := now.Add(-req.Waited)
	excluded := make(map[core.ReplicaID]bool, len(req.Excluded))
	for _, id := range req.Excluded {
		excluded[id] = true
	}
	return &queuedRequest{
		node: node, id: req.ID, dc: req.DataCentre, excluded: excluded, version: req.Version, arrivedAt: arrivedAt, urgent: req.Urgent, identity: req.Identity,
		startBy:     arrivedAt.Add(time.Duration(float64(req.Objective) * onTimeShare)),
		abandonedAt: arrivedAt.Add(req.MaxWait),
		batch:       req.Batch, dueAt: now.Add(req.DueIn), willMissDue: req.Late,
		prompt: req.Prompt, tokens: req.Tokens,
	}
}

// before reports whether q gets a slot before o. Resumed streams come first, then
// requests that were rejected before, whose callers may not come a third time, then
// requests that can still start on time, then late requests, each in order of arrival:
// a request that is late anyway takes no slot from one that is not.
// Items of jobs come last, ordered by their due time, and those that will miss
// it come behind the other items.
func (q *queuedRequest) before(o *queuedRequest, now time.Time) bool {
	if q.batch != o.batch {
		return o.batch
	}
	if q.batch && q.willMissDue != o.willMissDue {
		return o.willMissDue
	}
	if q.batch {
		return q.dueAt.Before(o.dueAt)
	}
	if q.urgent != o.urgent {
		return q.urgent
	}
	if q.returning != o.returning {
		return q.returning
	}
	if a, b := q.late(now), o.late(now); a != b {
		return b
	}
	return q.arrivedAt.Before(o.arrivedAt)
}

func (q *queuedRequest) late(now time.Time) bool { return now.After(q.startBy) }

// excludes reports whether the request must not go to a replica.
func (q *queuedRequest) excludes(r *replicaSlots) bool {
	return q.excluded[r.id] || q.version != nil && *q.version != r.version
}
