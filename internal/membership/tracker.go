package membership

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Tracker decides the state of each node from heartbeats, digests and the
// fleet list. It is deterministic: the time is given, and it does no I/O. It
// is not safe for concurrent use.
//
// A node of the own data centre is live only while both directions work: it
// answers this node's heartbeats and says that its own reach this node. With
// only one direction, two nodes would disagree on who owns a replica for as
// long as a one-way cut lasts.
type Tracker struct {
	self  Identity
	nodes map[core.NodeID]*tracked
}

type tracked struct {
	member Member
	// answered is when the node last answered a heartbeat of ours.
	answered time.Time
	// reachesUs is what the node last said of its own heartbeats to us.
	reachesUs bool
	// digested is when another data centre's node last reported it live.
	digested time.Time
	leaving  bool
	listed   bool
	downAt   time.Time
}

// NewTracker returns a tracker that knows only its own node.
func NewTracker(self Identity) *Tracker {
	return &Tracker{self: self, nodes: make(map[core.NodeID]*tracked)}
}

// SetLeaving marks the own node as leaving.
func (t *Tracker) SetLeaving() { t.self.Leaving = true }

// Self returns what the node says of itself.
func (t *Tracker) Self() Identity { return t.self }

// AddCandidate adds a node that the fleet list or a seed names. Being listed
// makes no node live; only an answer does.
func (t *Tracker) AddCandidate(m Member, leaving bool) {
	if m.ID == t.self.ID {
		return
	}
	n := t.node(m.ID)
	n.listed = true
	n.leaving = n.leaving || leaving
	if n.answered.IsZero() && n.digested.IsZero() {
		n.member.DataCentre, n.member.Region, n.member.Address = m.DataCentre, m.Region, m.Address
	}
}

// BeginList starts a new reading of the fleet list: nodes that are not added
// again are no longer listed.
func (t *Tracker) BeginList() {
	for _, n := range t.nodes {
		n.listed = false
	}
}

// Heard records a heartbeat that arrived from a node.
func (t *Tracker) Heard(id Identity) { t.learn(id) }

// Answered records that a node answered a heartbeat of ours, and whether it
// says that its own heartbeats reach us.
func (t *Tracker) Answered(id Identity, reachesUs bool, settingsVersion uint64, now time.Time) {
	n := t.learn(id)
	if n == nil {
		return
	}
	n.answered, n.reachesUs = now, reachesUs
	n.member.SettingsVersion = max(n.member.SettingsVersion, settingsVersion)
}

// Digest records the live members that a node of another data centre reported.
func (t *Tracker) Digest(members []Member, now time.Time) {
	for _, m := range members {
		if m.ID == t.self.ID || m.DataCentre == t.self.DataCentre {
			continue
		}
		n := t.node(m.ID)
		if m.Incarnation < n.member.Incarnation {
			continue
		}
		n.leaving = m.State == StateLeaving
		version := max(n.member.SettingsVersion, m.SettingsVersion)
		n.member, n.member.SettingsVersion = m, version
		if m.State == StateLive || m.State == StateLeaving {
			n.digested = now
		}
	}
}

// Reaches reports whether our heartbeats to a node were answered lately. It is
// what we tell the node in answer to its own heartbeats.
func (t *Tracker) Reaches(id core.NodeID, now time.Time) bool {
	n, ok := t.nodes[id]
	return ok && !n.answered.IsZero() && now.Sub(n.answered) < DownAfter
}

// learn takes over what a node says of itself, unless a newer process with the
// same id is known. It returns nil for an outdated process or the own id.
func (t *Tracker) learn(id Identity) *tracked {
	if id.ID == t.self.ID {
		return nil
	}
	n := t.node(id.ID)
	if id.Incarnation < n.member.Incarnation {
		return nil
	}
	if id.Incarnation > n.member.Incarnation {
		n.leaving, n.reachesUs, n.answered, n.digested = false, false, time.Time{}, time.Time{}
		n.member.SettingsVersion = 0
	}
	n.leaving = n.leaving || id.Leaving
	n.member.DataCentre, n.member.Region = id.DataCentre, id.Region
	n.member.Address, n.member.Incarnation = id.Address, id.Incarnation
	return n
}

func (t *Tracker) node(id core.NodeID) *tracked {
	n, ok := t.nodes[id]
	if !ok {
		n = &tracked{member: Member{ID: id}}
		t.nodes[id] = n
	}
	return n
}

// View returns the state of all nodes at a time and forgets nodes that have
// been down for long and are not listed.
func (t *Tracker) View(now time.Time, settingsVersion uint64) *View {
	members := make([]Member, 0, len(t.nodes)+1)
	members = append(members, t.selfMember(settingsVersion))
	for id, n := range t.nodes {
		n.member.State = t.state(n, now)
		if n.member.State == StateLive || n.member.State == StateLeaving {
			n.downAt = time.Time{}
		} else if n.downAt.IsZero() {
			n.downAt = now
		}
		if !n.listed && !n.downAt.IsZero() && now.Sub(n.downAt) > ForgetAfter {
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

func (t *Tracker) state(n *tracked, now time.Time) State {
	if !t.present(n, now) {
		if n.answered.IsZero() && n.digested.IsZero() {
			return StateUnknown
		}
		return StateDown
	}
	if n.leaving {
		return StateLeaving
	}
	return StateLive
}

func (t *Tracker) present(n *tracked, now time.Time) bool {
	if n.member.DataCentre == t.self.DataCentre {
		return n.reachesUs && !n.answered.IsZero() && now.Sub(n.answered) < DownAfter
	}
	return !n.digested.IsZero() && now.Sub(n.digested) < DigestValid
}

// Shift moves all recorded times forward by the length of a pause of the own
// process. Without it a process that wakes would see every other node as down
// and claim everything for itself.
func (t *Tracker) Shift(pause time.Duration) {
	for _, n := range t.nodes {
		n.answered = shifted(n.answered, pause)
		n.digested = shifted(n.digested, pause)
	}
}

func shifted(at time.Time, by time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(by)
}
