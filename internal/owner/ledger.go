package owner

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// defaultService is the assumed service time, in seconds, until the first
	// reservation is released.
	defaultService = 1.0
	// minServiceSamples is the number of ended requests from which the average
	// service time bounds waits.
	minServiceSamples = 20
	// finishMargin times the expected service time is what a waiter is left
	// with when it gets its slot; service times vary with the batch size.
	finishMargin = 1.2
	// minBacklog is the fewest online waiters that count as a backlog.
	minBacklog = 4
	// longRatio is how many times longer than the average a request is expected
	// to be to count as long.
	longRatio = 4.0
	// fairnessQuantum is the difference of virtual times, in average requests,
	// within which organisations count as equal, so that short requests of one
	// go before long ones of another.
	fairnessQuantum = 4.0
	// waitMargin scales the expected wait before it is compared with the
	// deadline. Later, shorter arrivals overtake a waiter, so the estimate is
	// low on average.
	waitMargin = 1.25
	// tombstoneTime is how long a release is remembered, because it may
	// overtake the reserve message or a list that names the reservation.
	tombstoneTime = 5 * time.Second
	pruneInterval = time.Second
	// listGrace is the age below which a reservation may be missing from its
	// holder's list, because the list was made before.
	listGrace = time.Second
	// maxMissedLists is the number of consecutive lists without a reservation
	// after which it is dropped.
	maxMissedLists = 2
)

// Ledger is the account of one replica's slots. It is a deterministic function
// of its inputs and the times passed in. It is not safe for concurrent use.
type Ledger struct {
	replica    core.ReplicaID
	limits     Limits
	byID       map[core.ReservationID]*reservation
	held       []*reservation // statusHeld and statusDraining
	waiting    []*reservation
	sequence   uint64
	fair       [2]shares // by class
	service    [2]average
	tokens     average
	speed      speed
	tombstones map[core.ReservationID]time.Time
	pruned     time.Time
	counters   Counters
	assumed    assumed
	probes     probes
	events     []Event
}

// NewLedger returns an empty ledger.
func NewLedger(replica core.ReplicaID, limits Limits) *Ledger {
	l := &Ledger{
		replica:    replica,
		limits:     limits,
		byID:       make(map[core.ReservationID]*reservation),
		tombstones: make(map[core.ReservationID]time.Time),
	}
	for i := range l.fair {
		l.fair[i].times = make(map[core.Org]float64)
	}
	return l
}

// Configure changes the limits. Held reservations beyond fewer slots stay,
// except that batch ones are preempted; a closed replica keeps no waiters.
func (l *Ledger) Configure(limits Limits, now time.Time) []Event {
	if limits == l.limits {
		return nil
	}
	l.limits = limits
	l.settle(now)
	return l.take()
}

// Reserve asks for a slot. A request whose ID is known gets its present state,
// so a resent request changes nothing.
func (l *Ledger) Reserve(r Request, now time.Time) (Decision, []Event) {
	l.settle(now)
	decision := l.reserve(r, now)
	l.counters.countVerdict(r.Class, decision.Verdict)
	decision.Load = l.Load()
	return decision, l.take()
}

func (l *Ledger) reserve(r Request, now time.Time) Decision {
	if known := l.byID[r.ID]; known != nil {
		if known.status == statusWaiting {
			return Decision{Verdict: VerdictQueued}
		}
		return Decision{Verdict: VerdictGranted}
	}
	_, released := l.tombstones[r.ID]
	if released || l.limits.Closed || l.limits.Slots <= 0 || expired(r.Deadline, now) {
		return Decision{}
	}
	if r.Probe && !l.probes.allow(now, l.limits.ProbeInterval) {
		return Decision{}
	}
	entry := l.entry(r, now)
	// No waiter is passed over: settle has granted what could be granted.
	if l.mayGrant(entry) {
		l.grant(entry, now)
		if r.Probe {
			l.probes.begin(r.ID, now)
		}
		return Decision{Verdict: VerdictGranted}
	}
	wait := l.expectedWait(entry)
	if r.NoWait || l.tooLate(entry, wait, now) || !l.makeRoom(entry) {
		return Decision{Wait: wait}
	}
	l.enqueue(entry)
	return Decision{Verdict: VerdictQueued, Wait: wait}
}

// Release ends a reservation, held or waiting.
func (l *Ledger) Release(id core.ReservationID, o Outcome, now time.Time) []Event {
	l.tombstones[id] = now
	l.probes.end(id, o.ProbeGood, now)
	entry := l.byID[id]
	if entry == nil {
		return nil
	}
	if o.Completed && entry.status == statusHeld {
		l.service[entry.Class].add(now.Sub(entry.since).Seconds())
	}
	l.counters.Released++
	l.remove(entry)
	l.settle(now)
	return l.take()
}

// Register adds a reservation that its holder already has, also beyond the
// slots. A waiter of the same ID becomes held.
func (l *Ledger) Register(r Request, since, now time.Time) []Event {
	l.register(r, since, now)
	l.settle(now)
	return l.take()
}

func (l *Ledger) register(r Request, since, now time.Time) {
	if _, released := l.tombstones[r.ID]; released {
		return
	}
	entry := l.byID[r.ID]
	if entry != nil && entry.status != statusWaiting {
		return
	}
	if entry != nil {
		l.remove(entry)
	}
	entry = l.entry(r, now)
	l.counters.Registered++
	l.assumed.arrived(entry.Class)
	l.hold(entry, since)
}

// DropHolder removes all reservations of a holder node that is down.
func (l *Ledger) DropHolder(holder core.NodeID, now time.Time) []Event {
	for _, entry := range l.ofHolder(holder) {
		l.counters.Dropped++
		l.remove(entry)
	}
	l.settle(now)
	return l.take()
}

// Tick ends expired waiters and forgets what is no longer needed.
func (l *Ledger) Tick(now time.Time) []Event {
	if now.Sub(l.pruned) >= pruneInterval {
		l.prune(now)
	}
	l.settle(now)
	return l.take()
}

func (l *Ledger) prune(now time.Time) {
	l.pruned = now
	for id, at := range l.tombstones {
		if now.Sub(at) > tombstoneTime {
			delete(l.tombstones, id)
		}
	}
	for i := range l.fair {
		l.fair[i].prune()
	}
}

// Idle reports whether the ledger has no reservation.
func (l *Ledger) Idle() bool { return len(l.byID) == 0 }

// Load returns the present use.
func (l *Ledger) Load() Load {
	load := Load{Replica: l.replica, Slots: l.limits.Slots, InUse: len(l.held)}
	for _, entry := range l.held {
		if !entry.online() {
			load.Batch++
		}
	}
	for _, entry := range l.waiting {
		if entry.online() {
			load.Queued++
		} else {
			load.BatchQueued++
		}
	}
	l.speed.fill(&load)
	return load
}

// entry makes a reservation with its expected service time.
func (l *Ledger) entry(r Request, now time.Time) *reservation {
	l.sequence++
	r.Weight = max(1, r.Weight)
	r.Class = min(r.Class, core.ClassBatch)
	entry := &reservation{Request: r, sequence: l.sequence, since: now, added: now}
	entry.cost = l.meanService(r.Class)
	if r.Tokens > 0 {
		l.tokens.add(float64(r.Tokens))
		ratio := float64(r.Tokens) / l.tokens.value
		entry.cost *= ratio
		entry.long = r.Class == core.ClassOnline && ratio > longRatio
	}
	entry.rank = float64(now.UnixNano())/1e9 + entry.cost
	l.boundWait(entry)
	return entry
}

// boundWait brings the deadline of the wait forward so that the work can still
// end in time. Before enough work has been observed the service time is a
// guess, and the wait is left as it is.
func (l *Ledger) boundWait(entry *reservation) {
	if entry.Finish.IsZero() || l.service[entry.Class].count < minServiceSamples {
		return
	}
	start := entry.Finish.Add(-time.Duration(entry.cost * finishMargin * float64(time.Second)))
	if entry.Deadline.IsZero() || start.Before(entry.Deadline) {
		entry.Deadline = start
	}
}

// meanService returns the average service time of a class in seconds.
func (l *Ledger) meanService(class core.Class) float64 {
	if l.service[class].count == 0 {
		return defaultService
	}
	return max(1e-6, l.service[class].value)
}

func (l *Ledger) ofHolder(holder core.NodeID) []*reservation {
	var found []*reservation
	for _, list := range [][]*reservation{l.held, l.waiting} {
		for _, entry := range list {
			if entry.Holder == holder {
				found = append(found, entry)
			}
		}
	}
	return found
}

func (l *Ledger) remove(entry *reservation) {
	delete(l.byID, entry.ID)
	if entry.status == statusWaiting {
		l.unqueue(entry)
		return
	}
	i := slices.Index(l.held, entry)
	l.held = slices.Delete(l.held, i, i+1)
}

func (l *Ledger) emit(kind EventKind, entry *reservation) {
	l.events = append(l.events, Event{Kind: kind, ID: entry.ID, Holder: entry.Holder})
}

func (l *Ledger) take() []Event {
	events := l.events
	l.events = nil
	return events
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }
