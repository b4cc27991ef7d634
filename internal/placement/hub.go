package placement

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// tickInterval is the time between checks of the queues when no message
	// triggers one.
	tickInterval = 20 * time.Millisecond
	// minTotalsInterval is the least time between totals messages. Nodes choose
	// by the totals when they reach no hub. A slot becomes free about every 90
	// ms at each replica.
	minTotalsInterval = 100 * time.Millisecond
	// totalsIntervalPerNode extends the interval in large fleets, so that a hub
	// sends at most 200 of these messages a second for each group.
	totalsIntervalPerNode = 5 * time.Millisecond
	// minListInterval is the least time between refreshes of the replicas of a
	// group. For a large service it is longer, as all its replicas are scanned to
	// find those of the group.
	minListInterval      = 5 * time.Millisecond
	minLargeListInterval = 100 * time.Millisecond
	// minDispatchInterval is the least time between two dispatches after messages.
	// A dispatch looks at each queued request, and hundreds of nodes send thousands
	// of messages a second.
	minDispatchInterval = 2 * time.Millisecond
	// groupIdleTimeout is how long a hub keeps the state of a group for which
	// it gets no messages.
	groupIdleTimeout = 3 * time.Second
)

var errStopping = errors.New("hub is stopping and accepts no placement requests")

// hub is the part of a node that places the requests of all nodes, for the
// groups whose hub it is.
type hub struct {
	transport      *peer.Transport
	registry       *replica.Registry
	sendPreemption func(core.NodeID, core.ReplicaID)
	// firstHub returns the first usable hub of a group if that is another node, and
	// announce makes this node known to the other hubs of a group.
	firstHub func(group) *nodes.Record
	announce func(group)
	// announced reports whether all nodes were just told that the group's hub changes.
	announced func(group, time.Time) bool
	// formerServiceTime returns what the former hub of a group has measured, or 0.
	formerServiceTime func(group) time.Duration
	// formerDemands returns what the former hub of a group has told of the usual demands,
	// or nil, and tellDemands tells the other hubs.
	formerDemands func(group, time.Time) *usualDemands
	tellDemands   func(*usualDemands, time.Time)
	// formerTotals returns the totals that this node got last from the former hub, or nil.
	formerTotals func(group) *formerTotals
	// checkFormerHubs finds out whether this node reaches the hubs that come before it.
	checkFormerHubs func(group)
	// recordContact tells the node of a message from a data centre.
	recordContact func(core.DataCentre, time.Time)
	log           *slog.Logger
	// memory returns how many tokens a replica of a service holds, or 0.
	memory         func(core.DeploymentID) int
	promptCounters promptCounters
	stopping       atomic.Bool
	// groupAdded gets an entry when a group is added.
	groupAdded chan struct{}

	mu     sync.Mutex
	groups map[group]*groupState
}

// groupState is the scheduler of one group with its timers.
type groupState struct {
	*scheduler
	listedAt      time.Time // last refresh of the replicas
	lastMessageAt time.Time // last placement request or counts
	totalsSentAt  time.Time
	sentNotices   sentNotices // with the totals
	// noticesSentTo is ledger.nodeChanges when the notices were last due: nodes that came
	// since then have none.
	noticesSentTo int
	dispatchedAt  time.Time
	demandsSentAt time.Time // to the other hubs
	// dispatchDue is set while a dispatch is scheduled, see dispatchSoon.
	dispatchDue bool
	// queuedSinceLog and rejectedSinceLog are the requests queued and rejected since the
	// last log line.
	queuedSinceLog, rejectedSinceLog int
}

func newHub(o *Options, sendPreemption func(core.NodeID, core.ReplicaID)) *hub {
	h := &hub{transport: o.Transport, registry: o.Registry, sendPreemption: sendPreemption, formerTotals: func(group) *formerTotals { return nil }, checkFormerHubs: func(group) {}, recordContact: func(core.DataCentre, time.Time) {}, log: o.Log, memory: o.Memory, promptCounters: newPromptCounters(o.Scope), groupAdded: make(chan struct{}, 1), groups: make(map[group]*groupState)}
	o.Transport.Handle(kindRequest, h.handleRequest)
	o.Transport.Handle(kindProbe, h.handleProbe)
	o.Transport.Handle(kindCounts, h.handleCounts)
	o.Transport.Handle(kindWithdraw, h.handleWithdrawal)
	return h
}

// ensureGroup returns the state of a group, creates it if needed and refreshes
// its replicas. The caller holds the lock.
func (h *hub) ensureGroup(g group, now time.Time) *groupState {
	state, ok := h.groups[g]
	if !ok {
		state = &groupState{scheduler: newScheduler(), lastMessageAt: now}
		h.groups[g] = state
		h.log.Info("became hub of a group", "group", g.key())
		select {
		case h.groupAdded <- struct{}{}:
		default: // run is ticking already or about to
		}
	}
	ready, interval := h.registry.Ready(g.Service), minListInterval
	if len(ready) > groupSize {
		interval = minLargeListInterval
	}
	if now.Sub(state.listedAt) >= interval {
		state.listedAt = now
		if state.serviceTime.measured() == 0 {
			state.serviceTime.adopt(h.formerServiceTime(g)) // this one may have been the hub before, too
		}
		if !state.onlineTurns.known {
			state.onlineTurns.adopt(h.formerDemands(g, now), now)
		}
		state.limits.share = 1
		if h.firstHub(g) != nil {
			state.limits.share = secondHubShare
		}
		newSince := now
		if !ok && h.announced(g, now) {
			newSince = now.Add(announcedSettleTime - replicaSettleTime)
		}
		if h.memory != nil {
			state.prompts.memory = h.memory(g.Service)
		}
		state.setReplicas(groupReplicas(state.replicas, g, ready, now, newSince), now)
		if !ok {
			state.takeOver(h.formerTotals(g), now)
			go h.checkFormerHubs(g)
		}
	}
	return state
}

// update calls fn with the state of a group, with the lock held. The caller calls
// the function that fn returns, without the lock. If fn panics, the state is dropped;
// the next messages of the nodes rebuild it.
func (h *hub) update(g group, now time.Time, fn func(*groupState) (send func())) (send func(), err error) {
	defer contain.Error(h.log, "group", g.key(), &err)
	h.mu.Lock()
	defer h.mu.Unlock()
	intact := false
	defer func() {
		if !intact {
			delete(h.groups, g)
		}
	}()
	send = fn(h.ensureGroup(g, now))
	intact = true
	return send, nil
}

// handleRequest answers a placementRequest.
func (h *hub) handleRequest(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	if h.stopping.Load() {
		return nil, errStopping
	}
	var req placementRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	now := time.Now()
	h.recordContact(req.DataCentre, now)
	var answer placementResponse
	send, err := h.update(req.Group, now, func(state *groupState) func() {
		state.lastMessageAt = now
		var assigned *assignment
		waiting := len(state.queue)
		answer, assigned = state.place(from, &req, now)
		state.queuedSinceLog += len(state.queue) - waiting // a node asks again for what is queued
		if answer.Outcome == outcomeRejected {
			state.rejectedSinceLog++
		}
		return h.preparePreemption(state, assigned)
	})
	if err != nil {
		return nil, err
	}
	send()
	return msgpack.Marshal(&answer)
}

// handleCounts applies the counts of a node and dispatches queued requests to
// slots that became free.
func (h *hub) handleCounts(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var c nodeCounts
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	now := time.Now()
	news := learnNotices(h.registry, c.Notices, from, now, h.log)
	send, err := h.update(c.Group, now, func(state *groupState) func() {
		if news {
			state.listedAt = time.Time{} // the next request must not be placed by the old list
		}
		state.lastMessageAt = now
		state.receiveCounts(from, &c, now)
		state.logStandings(h.log)
		return h.dispatchSoon(c.Group, state, now)
	})
	if err != nil {
		return nil, err
	}
	send()
	return nil, nil
}

// handleWithdrawal removes a queued request or an unused grant and dispatches
// other requests to the slot.
func (h *hub) handleWithdrawal(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var w withdrawal
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	now := time.Now()
	send, err := h.update(w.Group, now, func(state *groupState) func() {
		state.withdraw(from, w.RequestID)
		return h.dispatchSoon(w.Group, state, now)
	})
	if err != nil {
		return nil, err
	}
	send()
	return nil, nil
}

// dispatchSoon dispatches at once, or schedules a dispatch if the last one was less
// than minDispatchInterval ago. The function returned is called without the lock.
func (h *hub) dispatchSoon(g group, state *groupState, now time.Time) func() {
	wait := minDispatchInterval - now.Sub(state.dispatchedAt)
	if wait <= 0 {
		return h.dispatch(state, now)
	}
	if !state.dispatchDue && len(state.queue) > 0 {
		state.dispatchDue = true
		time.AfterFunc(wait, func() { h.dispatchDue(g, state, time.Now()) })
	}
	return func() {}
}

// dispatchDue makes a scheduled dispatch, unless the group was dropped since.
func (h *hub) dispatchDue(g group, state *groupState, now time.Time) {
	send, err := h.update(g, now, func(current *groupState) func() {
		state.dispatchDue = false
		if current != state {
			return func() {}
		}
		return h.dispatch(state, now)
	})
	if err == nil {
		send()
	}
}

// dispatch assigns free slots to queued requests. The function returned
// notifies their nodes and is called without the lock.
func (h *hub) dispatch(state *groupState, now time.Time) func() {
	state.dispatchedAt = now
	if h.stopping.Load() {
		return func() {} // the nodes ask the next hub
	}
	assigned := state.dispatch(now)
	if len(assigned) == 0 {
		return func() {}
	}
	preemptions := make([]func(), len(assigned))
	for i, a := range assigned {
		preemptions[i] = h.preparePreemption(state, a)
	}
	return func() {
		for i, a := range assigned {
			preemptions[i]()
			if err := h.transport.Send(a.node, kindGrant, &grantNotice{RequestID: a.id, Replica: a.replica, GrantID: a.grantID}); err != nil {
				h.log.Info("cannot send a grant; the node will ask again", "node", a.node, "error", err)
			}
		}
	}
}

// tick expires old state, drops idle groups, dispatches queued requests and
// sends the totals that are due. It reports whether any groups are left.
func (h *hub) tick(now time.Time) bool {
	h.mu.Lock()
	groups := slices.Collect(maps.Keys(h.groups))
	h.mu.Unlock()
	for _, g := range groups {
		if send, err := h.update(g, now, func(state *groupState) func() { return h.tickGroup(g, state, now) }); err == nil {
			send()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.groups) > 0
}

// tickGroup is tick for one group. The caller holds the lock, and calls the function
// returned without it.
func (h *hub) tickGroup(g group, state *groupState, now time.Time) func() {
	state.expire(now)
	if now.Sub(state.lastMessageAt) > groupIdleTimeout {
		delete(h.groups, g)
		h.log.Info("stopped being hub of an idle group", "group", g.key())
		return func() {}
	}
	sendGrants, sendTotals := h.dispatch(state, now), func() {}
	sendRejections, sendDemands := h.prepareRejections(state, now), h.prepareDemands(g, state, now)
	if now.Sub(state.totalsSentAt) >= max(minTotalsInterval, time.Duration(len(state.nodes))*totalsIntervalPerNode) {
		state.totalsSentAt = now
		sendTotals = h.prepareTotals(g, state, now)
	}
	return func() {
		sendGrants()
		sendRejections()
		sendTotals()
		sendDemands()
	}
}

// prepareRejections rejects the queued requests that cannot be served in time. The
// function returned tells their nodes and is called without the lock.
func (h *hub) prepareRejections(state *groupState, now time.Time) func() {
	rejected := state.rejectHopeless(now)
	state.rejectedSinceLog += len(rejected)
	return func() {
		for _, r := range rejected {
			if err := h.transport.Send(r.node, kindGrant, &grantNotice{RequestID: r.id, RejectedFor: r.wait}); err != nil {
				h.log.Info("cannot send a rejection; the node will ask again", "node", r.node, "error", err)
			}
		}
	}
}

// prepareTotals encodes the totals of a group. The function returned sends them
// to the nodes that report to this hub and is called without the lock.
func (h *hub) prepareTotals(g group, state *groupState, now time.Time) func() {
	message := &groupTotals{Group: g, First: h.firstHub(g), ServiceTime: state.serviceTime.measured(), Standings: state.outcomes.standings(now)}
	if state.noticesSentTo != state.nodeChanges {
		state.noticesSentTo, state.sentNotices.sentAt = state.nodeChanges, time.Time{}
	}
	state.sentNotices.attach(&message.Notices, knownNotices(h.registry, g, now), now)
	for _, r := range state.replicas {
		sum := state.sum(r.id)
		message.Replicas = append(message.Replicas, replicaCounts{ID: r.id, Online: sum.online + state.pendingByReplica[r.id], Batch: sum.batch})
	}
	if state.queuedSinceLog+state.rejectedSinceLog > 0 {
		f := state.forecast()
		h.log.Info("requests were queued for a slot", "count", state.queuedSinceLog, "rejected", state.rejectedSinceLog, "waiting", len(state.queue), "beyond_share", state.numBeyondShare(),
			"replicas", len(state.replicas), "service_ms", int64(state.serviceTime.mean*1e3), "per_second", f.throughput, "spare_per_second", f.spare)
		state.queuedSinceLog, state.rejectedSinceLog = 0, 0
	}
	h.reportPrompts(g, state, now)
	body, err := msgpack.Marshal(message)
	if err != nil {
		h.log.Error("cannot encode the totals of a group", "error", err)
		return func() {}
	}
	reporting := slices.Collect(maps.Keys(state.nodes))
	return func() {
		if !h.stopping.Load() {
			h.announce(g)
		}
		for _, node := range reporting {
			if err := h.transport.Send(node, kindTotals, msgpack.RawMessage(body)); err != nil {
				h.log.Debug("cannot send the totals of a group", "node", node, "error", err)
			}
		}
	}
}
