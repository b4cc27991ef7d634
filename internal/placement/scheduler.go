package placement

import (
	"math"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// grantTTL is how long a grant occupies a slot without a confirmation by its
	// node. Nodes confirm grants with their next counts, after maxCountsInterval
	// at the latest.
	grantTTL = time.Second
	// slowdownTTL is how long a reported slowdown is valid. Slowdowns are caused
	// by workloads on the same machine, which change many times a second.
	slowdownTTL = 300 * time.Millisecond
	// maxFreeSlowdown is the slowdown up to which a replica with a free slot is
	// preferred to preempting a batch item elsewhere. At twice its usual duration a
	// stream is still on time.
	maxFreeSlowdown = 2.0
	// replicaSettleTime is how long a replica that has become usable gets no batch
	// items. Nodes that used it through another hub have reported their work to this
	// one by then.
	replicaSettleTime = time.Second
	// headroomShare is the fraction of the slots that batch work leaves free,
	// so that not every online request has to wait for a preemption.
	headroomShare = 0.03
	// normalSlowdown is the slowdown, in hundredths, of a replica that runs at
	// normal speed.
	normalSlowdown = 100
)

// replicaSlots is a replica with its number of slots.
type replicaSlots struct {
	id      core.ReplicaID
	dc      core.DataCentre
	version core.SoftwareVersion
	slots   int
	limit   replica.Limit
	// started tells the processes of a replica apart, as in its registration.
	started int64
	// usableSince is when the hub began to use the replica, or used it again after
	// it was ejected.
	usableSince time.Time
}

// pendingGrant is a slot that was granted to a node and is not yet part of its
// counts.
type pendingGrant struct {
	node      core.NodeID
	requestID uint64
	replica   core.ReplicaID
	batch     bool
	grantedAt time.Time
}

// slowdownReport is the last slowdown that a node reported for a replica.
type slowdownReport struct {
	factor     float64
	receivedAt time.Time
}

// assignment is a request that got a slot.
type assignment struct {
	*queuedRequest
	replica core.ReplicaID
	grantID uint64
	// preempts is set if a batch item must be preempted to free the slot.
	preempts bool
}

// scheduler places the requests of one group: it tracks the slots in use and
// queues the requests that find none free. It depends only on its inputs and
// the times passed to it, and is not safe for concurrent use.
type scheduler struct {
	*ledger
	replicas         []replicaSlots
	grants           map[uint64]pendingGrant
	pendingByReplica map[core.ReplicaID]int // number of pending grants
	slowdowns        map[core.ReplicaID]slowdownReport
	untracked        map[core.ReplicaID]untrackedLoad
	ejectionVotes    ejectionVotes
	limits           rateLimits
	outcomes         outcomes
	inherited        inheritedLoad
	queue            []*queuedRequest
	lastGrantID      uint64
	serviceTime      serviceTimeEstimator
	demand           demand
	demandInside     demand // the part inside the shares of the organisations
	rejected         rejectedRequests
	prompts          *prompts
	// onlineTurns and itemTurns are the turns of the organisations.
	onlineTurns, itemTurns *turns
}

func newScheduler() *scheduler {
	return &scheduler{
		ledger: newLedger(), grants: make(map[uint64]pendingGrant),
		pendingByReplica: make(map[core.ReplicaID]int), slowdowns: make(map[core.ReplicaID]slowdownReport),
		untracked: make(map[core.ReplicaID]untrackedLoad), ejectionVotes: newEjectionVotes(), limits: newRateLimits(), outcomes: newOutcomes(), rejected: make(rejectedRequests), prompts: newPrompts(),
		onlineTurns: newOnlineTurns(), itemTurns: newItemTurns(),
	}
}

// place grants a request a slot, queues it or rejects it. For a request that is
// already queued or granted, it returns the present state.
func (s *scheduler) place(node core.NodeID, req *placementRequest, now time.Time) (placementResponse, *assignment) {
	s.ejectionVotes.record(node, req.Excluded[:min(max(0, req.NumEjected), len(req.Excluded))], now)
	if existing := s.lookup(node, req.ID); existing != nil {
		return *existing, nil
	}
	q := s.newRequest(node, req, now)
	if !q.batch && !q.urgent {
		q.returning = s.rejected.take(q.identity, now)
	}
	if r, preempts := s.openingFor(q, now); r != nil {
		assigned := s.assign(q, r, preempts, now)
		s.charge(q, now)
		return placementResponse{Outcome: outcomeGranted, Replica: assigned.replica, GrantID: assigned.grantID}, assigned
	}
	if !s.placeable(q) {
		return placementResponse{Outcome: outcomeNoReplica}, nil
	}
	if expected, least := s.expectedWait(q, now); q.hopeless(expected, now) {
		return placementResponse{Outcome: outcomeRejected, ExpectedWait: s.recordRejection(q, expected, least, now)}, nil
	}
	s.enqueue(q, now)
	return placementResponse{Outcome: outcomeQueued}, nil
}

// placeable reports whether the group has a replica that a request may go to.
func (s *scheduler) placeable(q *queuedRequest) bool {
	return slices.ContainsFunc(s.replicas, func(r replicaSlots) bool { return !q.excludes(&r) })
}

// openingFor returns the replica that a new request gets at once, or nil. No request that
// is queued before it may be able to use the slot: those that wait for a version of the
// software do not hold up others at other versions.
func (s *scheduler) openingFor(q *queuedRequest, now time.Time) (r *opening, preempts bool) {
	var ahead []*queuedRequest
	for _, o := range s.queue {
		if !o.before(q, now) {
			continue
		}
		if o.version == nil {
			return nil, false
		}
		ahead = append(ahead, o)
	}
	open := s.openings(now)
	most := s.prompts.match(open, q.prompt)
	r, preempts = open.choose(q, s.headroom())
	if r == nil || slices.ContainsFunc(ahead, func(o *queuedRequest) bool { return !o.excludes(&r.replicaSlots) }) {
		return nil, false
	}
	s.prompts.sent(r, q, most)
	return r, preempts
}

// lookup returns the state of a request that is queued or has an unconfirmed
// grant, or nil.
func (s *scheduler) lookup(node core.NodeID, id uint64) *placementResponse {
	if slices.ContainsFunc(s.queue, func(q *queuedRequest) bool { return q.node == node && q.id == id }) {
		return &placementResponse{Outcome: outcomeQueued}
	}
	for grantID, g := range s.grants {
		if g.node == node && g.requestID == id {
			return &placementResponse{Outcome: outcomeGranted, Replica: g.replica, GrantID: grantID}
		}
	}
	return nil
}

// headroom returns the number of slots that batch work leaves free.
func (s *scheduler) headroom() int {
	return int(math.Ceil(headroomShare * float64(s.totalSlots())))
}

// setReplicas replaces the replicas of the group.
func (s *scheduler) setReplicas(replicas []replicaSlots, now time.Time) {
	s.replicas = replicas
	s.limits.update(replicas, now)
	s.prompts.setReplicas(replicas)
	s.outcomes.update(replicas)
}

func (s *scheduler) totalSlots() int {
	n := 0
	for _, r := range s.replicas {
		n += r.slots
	}
	return n
}

// trackedLoad returns the work at a replica that the hub knows from counts and
// pending grants.
func (s *scheduler) trackedLoad(id core.ReplicaID) int {
	sum := s.sum(id)
	return sum.online + sum.batch + s.pendingByReplica[id]
}

func (s *scheduler) slowdown(id core.ReplicaID, now time.Time) float64 {
	if report, ok := s.slowdowns[id]; ok && now.Sub(report.receivedAt) <= slowdownTTL {
		return max(1, report.factor)
	}
	return 1
}

// assign grants a request a slot at a replica.
func (s *scheduler) assign(q *queuedRequest, r *opening, preempts bool, now time.Time) *assignment {
	s.lastGrantID++
	s.grants[s.lastGrantID] = pendingGrant{node: q.node, requestID: q.id, replica: r.id, batch: q.batch, grantedAt: now}
	s.pendingByReplica[r.id]++
	s.limits.take(r.id, now)
	s.outcomes.granted(r.id, now)
	if !q.batch {
		s.serviceTime.grantedSinceSample++
		s.observeDemand(q)
	}
	return &assignment{queuedRequest: q, replica: r.id, grantID: s.lastGrantID, preempts: preempts}
}

// receiveCounts applies the counts of a node and removes the grants that they
// include.
func (s *scheduler) receiveCounts(node core.NodeID, c *nodeCounts, now time.Time) {
	for _, grantID := range c.ConfirmedGrants {
		s.removeGrant(grantID, node)
	}
	s.outcomes.receive(node, c.Outcomes, now) // whatever overtook the message, they are in no other
	s.outcomes.adopt(c.Standings, now)
	if last, ok := s.nodes[node]; ok && last.stale(c) {
		return
	}
	s.replaceCounts(node, c, now)
	for _, rc := range c.Replicas {
		if rc.Slowdown > 0 {
			s.slowdowns[rc.ID] = slowdownReport{factor: float64(rc.Slowdown) / normalSlowdown, receivedAt: now}
		}
		if rc.Reported > 0 {
			s.untracked[rc.ID] = s.untracked[rc.ID].observe(rc.Reported-s.trackedLoad(rc.ID), now)
		}
	}
}

// removeGrant removes a pending grant that was confirmed, was not used or has
// expired.
func (s *scheduler) removeGrant(grantID uint64, node core.NodeID) {
	g, ok := s.grants[grantID]
	if !ok || g.node != node {
		return
	}
	delete(s.grants, grantID)
	if s.pendingByReplica[g.replica]--; s.pendingByReplica[g.replica] <= 0 {
		delete(s.pendingByReplica, g.replica)
	}
}

// withdraw removes a request from the queue, and its pending grant.
func (s *scheduler) withdraw(node core.NodeID, id uint64) {
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedRequest) bool { return q.node == node && q.id == id })
	for grantID, g := range s.grants {
		if g.node == node && g.requestID == id {
			s.removeGrant(grantID, node)
		}
	}
}

// dispatch assigns free slots to queued requests in order of priority. If there
// is no free slot, as usual with a long queue, it does not sort the queue.
func (s *scheduler) dispatch(now time.Time) []*assignment {
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedRequest) bool { return now.After(q.abandonedAt) })
	if len(s.queue) == 0 {
		return nil
	}
	open, headroom := s.openings(now), s.headroom()
	if len(open.list) == 0 {
		return nil
	}
	s.sortQueue(now)
	var out []*assignment
	remaining := s.queue[:0:0]
	for i, q := range s.queue {
		if len(open.list) == 0 || q.batch && open.free <= headroom && open.probe(q) == nil {
			remaining = append(remaining, s.queue[i:]...) // only items follow an item, as before orders them last
			break
		}
		most := s.prompts.match(open, q.prompt)
		r, preempts := open.choose(q, headroom)
		if r == nil {
			remaining = append(remaining, q)
			continue
		}
		s.prompts.sent(r, q, most)
		out = append(out, s.assign(q, r, preempts, now))
		s.charge(q, now)
		open.take(r)
	}
	s.queue = remaining
	return out
}

// expire drops the counts of silent nodes and unconfirmed grants after their
// TTL, and updates the estimate of the service time.
func (s *scheduler) expire(now time.Time) {
	s.ledger.expire(now)
	s.ejectionVotes.expire(now)
	s.outcomes.expire(now)
	s.rejected.expire(now)
	s.demand.update(now)
	s.demandInside.update(now)
	s.onlineTurns.update(now)
	s.itemTurns.update(now)
	busy := 0
	for grantID, g := range s.grants {
		switch {
		case now.Sub(g.grantedAt) > grantTTL:
			s.removeGrant(grantID, g.node)
		case !g.batch:
			busy++
		}
	}
	for _, sum := range s.sums {
		busy += sum.online
	}
	s.serviceTime.sample(busy, s.nodeChanges, now)
}

// expectedWait estimates how long a new request would wait behind those that are queued
// before it, and how long it would wait if no others came.
func (s *scheduler) expectedWait(q *queuedRequest, now time.Time) (expected, least time.Duration) {
	before := 0
	for _, o := range s.queue {
		if !o.batch && !q.before(o, now) {
			before++
		}
	}
	return s.forecast().wait(before, q, now)
}

// throughput estimates how many online requests a second the replicas take: what their
// slots allow, or the limits that they name if that is less.
func (s *scheduler) throughput() float64 {
	serviceTime, sum := s.serviceTime.seconds(), 0.0
	for _, r := range s.replicas {
		if s.outcomes.onProbation(r.id) {
			continue
		}
		perSecond := float64(r.slots) / serviceTime
		if r.limit.Named {
			perSecond = min(perSecond, s.limits.share*usableRate(r.limit))
		}
		sum += perSecond
	}
	if serviceTime == 0 && len(s.replicas) > 0 {
		return sum
	}
	return max(sum, 1/serviceTime) // as of one slot, if there are none
}
