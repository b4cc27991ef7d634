package owner

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// defaultServiceTime is the assumed service time, in seconds, until the first
	// completed request is released.
	defaultServiceTime = 1.0
	// minServiceSamples is the number of completed requests after which the
	// average service time limits how long requests wait.
	minServiceSamples = 20
	// serviceTimeMargin times the expected service time must remain until
	// Request.Finish when a waiter is granted a slot. Service times vary with the
	// batch size of the backend server.
	serviceTimeMargin = 1.2
	// minBacklog is the smallest number of online waiters that counts as a
	// backlog.
	minBacklog = 4
	// longRequestRatio is the ratio of a request's expected length to the average
	// above which the request counts as long.
	longRequestRatio = 4.0
	// fairnessQuantum is the difference of virtual times, in average requests, up
	// to which organisations count as equal, so that short requests of one are
	// served before long requests of another.
	fairnessQuantum = 4.0
	// waitMargin scales the expected wait before it is compared with the
	// deadline. Shorter requests that arrive later are served first, so the
	// estimate is too low on average.
	waitMargin = 1.25
	// tombstoneTTL is how long the ID of a released reservation is kept. A
	// release may overtake the reserve message or a list with the reservation.
	tombstoneTTL = 5 * time.Second
	// pruneInterval is how often expired tombstones and the virtual times of idle
	// organisations are removed.
	pruneInterval = time.Second
	// listGrace is the age up to which a reservation may be missing from its
	// holder's list, because the list may have been made before it.
	listGrace = time.Second
	// maxMissedLists is the number of consecutive lists without a reservation
	// after which it is dropped.
	maxMissedLists = 2
)

// Ledger records the reservations of one replica's slots and schedules the
// requests for them. It is deterministic: its state depends only on the calls
// and the times passed in. It is not safe for concurrent use.
type Ledger struct {
	replica      core.ReplicaID
	limits       Limits
	byID         map[core.ReservationID]*reservation
	held         []*reservation // statusHeld and statusDraining
	waiting      []*reservation
	sequence     uint64
	fairQueues   [2]fairQueue // by class
	serviceTimes [2]movingAverage
	meanTokens   movingAverage
	latency      latencyWindows
	tombstones   map[core.ReservationID]time.Time
	prunedAt     time.Time
	counters     Counters
	assumed      assumedLoad
	probes       probeLimiter
	events       []Event
}

// NewLedger returns an empty ledger.
func NewLedger(replica core.ReplicaID, limits Limits) *Ledger {
	l := &Ledger{
		replica:    replica,
		limits:     limits,
		byID:       make(map[core.ReservationID]*reservation),
		tombstones: make(map[core.ReservationID]time.Time),
	}
	for i := range l.fairQueues {
		l.fairQueues[i].finishTimes = make(map[core.Org]float64)
	}
	return l
}

// Configure changes the limits. If there are now more held reservations than
// slots, batch reservations are preempted and online ones stay. If the replica
// is closed, all waiters are evicted.
func (l *Ledger) Configure(limits Limits, now time.Time) []Event {
	if limits == l.limits {
		return nil
	}
	l.limits = limits
	l.reconcile(now)
	return l.takeEvents()
}

// Reserve requests a slot. It is idempotent: a request whose ID is known returns
// the current state of its reservation.
func (l *Ledger) Reserve(r Request, now time.Time) (Decision, []Event) {
	l.reconcile(now)
	decision := l.reserve(r, now)
	l.counters.countVerdict(r.Class, decision.Verdict)
	decision.Load = l.Load()
	return decision, l.takeEvents()
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
	entry := l.newReservation(r, now)
	// This skips no waiter: reconcile has granted all slots that could be granted.
	if l.mayGrant(entry) {
		l.grant(entry, now)
		if r.Probe {
			l.probes.start(r.ID, now)
		}
		return Decision{Verdict: VerdictGranted}
	}
	wait := l.expectedWait(entry)
	if r.NoWait || l.wouldMissDeadline(entry, wait, now) || !l.makeRoom(entry) {
		return Decision{Wait: wait}
	}
	l.enqueue(entry)
	return Decision{Verdict: VerdictQueued, Wait: wait}
}

// Release removes a held or waiting reservation.
func (l *Ledger) Release(id core.ReservationID, o Outcome, now time.Time) []Event {
	l.tombstones[id] = now
	l.probes.finish(id, o.ProbePassed, now)
	entry := l.byID[id]
	if entry == nil {
		return nil
	}
	if o.Completed && entry.status == statusHeld {
		l.serviceTimes[entry.Class].add(now.Sub(entry.since).Seconds())
	}
	l.counters.Released++
	l.remove(entry)
	l.reconcile(now)
	return l.takeEvents()
}

// Register adds a reservation that its holder already holds, even if no slot is
// free. A waiting reservation with the same ID becomes held.
func (l *Ledger) Register(r Request, since, now time.Time) []Event {
	l.register(r, since, now)
	l.reconcile(now)
	return l.takeEvents()
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
	entry = l.newReservation(r, now)
	l.counters.Registered++
	l.assumed.subtract(entry.Class)
	l.hold(entry, since)
}

// DropHolder removes all reservations of a holder that is down.
func (l *Ledger) DropHolder(holder core.NodeID, now time.Time) []Event {
	for _, entry := range l.reservationsOf(holder) {
		l.counters.Dropped++
		l.remove(entry)
	}
	l.reconcile(now)
	return l.takeEvents()
}

// Tick expires waiters, grants free slots and periodically removes state that
// is no longer needed.
func (l *Ledger) Tick(now time.Time) []Event {
	if now.Sub(l.prunedAt) >= pruneInterval {
		l.prune(now)
	}
	l.reconcile(now)
	return l.takeEvents()
}

func (l *Ledger) prune(now time.Time) {
	l.prunedAt = now
	for id, at := range l.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(l.tombstones, id)
		}
	}
	for i := range l.fairQueues {
		l.fairQueues[i].prune()
	}
}

// Idle reports whether the ledger has no reservation.
func (l *Ledger) Idle() bool { return len(l.byID) == 0 }

// Load returns the current load of the replica.
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
	l.latency.fillLoad(&load)
	return load
}

// newReservation returns a reservation for a request, with its expected service
// time and rank. It does not add the reservation to the ledger.
func (l *Ledger) newReservation(r Request, now time.Time) *reservation {
	l.sequence++
	r.Weight = max(1, r.Weight)
	r.Class = min(r.Class, core.ClassBatch)
	entry := &reservation{Request: r, sequence: l.sequence, since: now, added: now}
	entry.cost = l.meanServiceTime(r.Class)
	if r.Tokens > 0 {
		l.meanTokens.add(float64(r.Tokens))
		ratio := float64(r.Tokens) / l.meanTokens.value
		entry.cost *= ratio
		entry.long = r.Class == core.ClassOnline && ratio > longRequestRatio
	}
	entry.rank = float64(now.UnixNano())/1e9 + entry.cost
	l.boundWait(entry)
	return entry
}

// boundWait makes the deadline of the wait early enough that the work can still
// end by Request.Finish. With fewer than minServiceSamples completed requests
// the average service time is unreliable, and the deadline is not changed.
func (l *Ledger) boundWait(entry *reservation) {
	if entry.Finish.IsZero() || l.serviceTimes[entry.Class].count < minServiceSamples {
		return
	}
	start := entry.Finish.Add(-time.Duration(entry.cost * serviceTimeMargin * float64(time.Second)))
	if entry.Deadline.IsZero() || start.Before(entry.Deadline) {
		entry.Deadline = start
	}
}

// meanServiceTime returns the average service time of a class in seconds.
func (l *Ledger) meanServiceTime(class core.Class) float64 {
	if l.serviceTimes[class].count == 0 {
		return defaultServiceTime
	}
	return max(1e-6, l.serviceTimes[class].value)
}

func (l *Ledger) reservationsOf(holder core.NodeID) []*reservation {
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
		l.dequeue(entry)
		return
	}
	i := slices.Index(l.held, entry)
	l.held = slices.Delete(l.held, i, i+1)
}

func (l *Ledger) emit(kind EventKind, entry *reservation) {
	l.events = append(l.events, Event{Kind: kind, ID: entry.ID, Holder: entry.Holder})
}

func (l *Ledger) takeEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }
