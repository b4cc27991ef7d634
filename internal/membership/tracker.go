package membership

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Tracker derives the state of each node from heartbeats, digests and the fleet
// list. It is deterministic: the time is a parameter, and it does no I/O. It is
// not safe for concurrent use.
//
// A node of the same data centre is live only while both directions work: it
// responds to this node's heartbeats, and its responses say that its own
// heartbeats reach this node. If one direction were enough, two nodes would
// disagree on the owner of a replica for as long as a one-way partition lasts.
type Tracker struct {
	self  Identity
	nodes map[core.NodeID]*trackedNode
}

// trackedNode is what the tracker knows of another node.
type trackedNode struct {
	member Member
	// lastResponse is when the node last responded to a heartbeat of this node.
	lastResponse time.Time
	// reachesSelf is whether the node's own heartbeats reach this node, according
	// to its last response.
	reachesSelf bool
	// lastDigest is when a digest last reported the node live or leaving.
	lastDigest  time.Time
	leaving     bool
	inFleetList bool
	// downSince is when a view first had the node neither live nor leaving; zero
	// while it is one of them.
	downSince time.Time
}

// NewTracker returns a tracker without other nodes.
func NewTracker(self Identity) *Tracker {
	return &Tracker{self: self, nodes: make(map[core.NodeID]*trackedNode)}
}

// SetLeaving marks this node as leaving.
func (t *Tracker) SetLeaving() { t.self.Leaving = true }

// Self returns the identity of this node.
func (t *Tracker) Self() Identity { return t.self }

// AddFleetNode adds a node of the fleet list. The list does not make a node live;
// only a response or a digest does.
func (t *Tracker) AddFleetNode(m Member, leaving bool) {
	if m.ID == t.self.ID {
		return
	}
	n := t.getOrAdd(m.ID)
	n.inFleetList = true
	n.leaving = n.leaving || leaving
	if n.lastResponse.IsZero() && n.lastDigest.IsZero() {
		n.member.DataCentre, n.member.Region, n.member.Address = m.DataCentre, m.Region, m.Address
	}
}

// BeginFleetList starts a new version of the fleet list: nodes that are not added
// again by AddFleetNode count as removed from the list.
func (t *Tracker) BeginFleetList() {
	for _, n := range t.nodes {
		n.inFleetList = false
	}
}

// RecordIdentity records the identity that a node sent in a message. It does not
// make the node live.
func (t *Tracker) RecordIdentity(id Identity) { t.updateIdentity(id) }

// RecordResponse records that a node responded to a heartbeat of this node, and
// whether the response says that its own heartbeats reach this node.
func (t *Tracker) RecordResponse(id Identity, reachesSelf bool, settingsVersion uint64, now time.Time) {
	n := t.updateIdentity(id)
	if n == nil {
		return
	}
	n.lastResponse, n.reachesSelf = now, reachesSelf
	n.member.SettingsVersion = max(n.member.SettingsVersion, settingsVersion)
}

// RecordDigest records the members that a node of another data centre reported.
// Members of this node's data centre are ignored: heartbeats decide their state.
func (t *Tracker) RecordDigest(members []Member, now time.Time) {
	for _, m := range members {
		if m.ID == t.self.ID || m.DataCentre == t.self.DataCentre {
			continue
		}
		n := t.getOrAdd(m.ID)
		if m.Incarnation < n.member.Incarnation {
			continue
		}
		n.leaving = m.State == StateLeaving
		version := max(n.member.SettingsVersion, m.SettingsVersion)
		n.member, n.member.SettingsVersion = m, version
		if m.State == StateLive || m.State == StateLeaving {
			n.lastDigest = now
		}
	}
}

// CanReach reports whether a node responded to a heartbeat of this node within
// DownAfter. The responses to the node's heartbeats carry it.
func (t *Tracker) CanReach(id core.NodeID, now time.Time) bool {
	n, ok := t.nodes[id]
	return ok && !n.lastResponse.IsZero() && now.Sub(n.lastResponse) < DownAfter
}

// updateIdentity records the identity of a node. It returns nil and records
// nothing for this node's own ID and for an incarnation older than the known one.
// A newer incarnation resets the state of the node.
func (t *Tracker) updateIdentity(id Identity) *trackedNode {
	if id.ID == t.self.ID {
		return nil
	}
	n := t.getOrAdd(id.ID)
	if id.Incarnation < n.member.Incarnation {
		return nil
	}
	if id.Incarnation > n.member.Incarnation {
		n.leaving, n.reachesSelf, n.lastResponse, n.lastDigest = false, false, time.Time{}, time.Time{}
		n.member.SettingsVersion = 0
	}
	n.leaving = n.leaving || id.Leaving
	n.member.DataCentre, n.member.Region = id.DataCentre, id.Region
	n.member.Address, n.member.Incarnation = id.Address, id.Incarnation
	return n
}

func (t *Tracker) getOrAdd(id core.NodeID) *trackedNode {
	n, ok := t.nodes[id]
	if !ok {
		n = &trackedNode{member: Member{ID: id}}
		t.nodes[id] = n
	}
	return n
}

// View returns the state of all nodes at the time now. It removes nodes that are
// not in the fleet list and have been neither live nor leaving for longer than
// ForgetAfter.
func (t *Tracker) View(now time.Time, settingsVersion uint64) *View {
	members := make([]Member, 0, len(t.nodes)+1)
	members = append(members, t.selfMember(settingsVersion))
	for id, n := range t.nodes {
		n.member.State = t.state(n, now)
		if n.member.State == StateLive || n.member.State == StateLeaving {
			n.downSince = time.Time{}
		} else if n.downSince.IsZero() {
			n.downSince = now
		}
		if !n.inFleetList && !n.downSince.IsZero() && now.Sub(n.downSince) > ForgetAfter {
			delete(t.nodes, id)
			continue
		}
		members = append(members, n.member)
	}
	return NewView(t.self.ID, members)
}

func (t *Tracker) selfMember(settingsVersion uint64) Member {
	m := Member{
		ID: t.self.ID, DataCentre: t.self.DataCentre, Region: t.self.Region,
		Address: t.self.Address, State: StateLive, Incarnation: t.self.Incarnation,
		SettingsVersion: settingsVersion,
	}
	if t.self.Leaving {
		m.State = StateLeaving
	}
	return m
}

func (t *Tracker) state(n *trackedNode, now time.Time) State {
	if !t.isReachable(n, now) {
		if n.lastResponse.IsZero() && n.lastDigest.IsZero() {
			return StateUnknown
		}
		return StateDown
	}
	if n.leaving {
		return StateLeaving
	}
	return StateLive
}

// isReachable reports whether a node counts as running: by heartbeats within
// DownAfter in both directions in this node's data centre, by a digest
// within DigestValidity in another one.
func (t *Tracker) isReachable(n *trackedNode, now time.Time) bool {
	if n.member.DataCentre == t.self.DataCentre {
		return n.reachesSelf && !n.lastResponse.IsZero() && now.Sub(n.lastResponse) < DownAfter
	}
	return !n.lastDigest.IsZero() && now.Sub(n.lastDigest) < DigestValidity
}

// ShiftTimes moves the recorded times forward by the duration of a pause of this
// process. Without it a process that resumes after a pause would see all other
// nodes as down and itself as the owner of every key.
func (t *Tracker) ShiftTimes(pause time.Duration) {
	for _, n := range t.nodes {
		n.lastResponse = shiftTime(n.lastResponse, pause)
		n.lastDigest = shiftTime(n.lastDigest, pause)
	}
}

func shiftTime(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(by)
}
