package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// modelReservation is the state of a reservation as its holder knows it.
type modelReservation struct {
	Request
	status      status
	since       time.Time
	added       time.Time
	releaseLost bool // the holder released it, but the message was lost
	missedLists int
}

// model is the test oracle. It applies the verdicts and events as the holders
// do, and checks each of them by counting reservations.
type model struct {
	ledger  *Ledger
	limits  Limits
	now     time.Time
	entries map[core.ReservationID]*modelReservation
	next    int
}

func (m *model) count(match func(*modelReservation) bool) int {
	n := 0
	for _, e := range m.entries {
		if match(e) {
			n++
		}
	}
	return n
}

func (m *model) onlineHeld() int {
	return m.count(func(e *modelReservation) bool { return e.Class == core.ClassOnline && e.status != statusWaiting })
}

func (m *model) inUse() int {
	return m.count(func(e *modelReservation) bool { return e.status != statusWaiting })
}

// overcommit returns the number of online requests that may be granted beyond
// the number of slots: one if the number of waiters is at least four and at
// least half the number of slots.
func (m *model) overcommit() int {
	waiting := m.count(func(e *modelReservation) bool { return e.status == statusWaiting && e.Class == core.ClassOnline })
	if waiting >= 4 && 2*waiting >= m.limits.Slots {
		return 1
	}
	return 0
}

// grant checks that a grant is allowed and applies it.
func (m *model) grant(t *rapid.T, e *modelReservation) {
	if e.status != statusWaiting {
		t.Fatalf("%s is granted twice", e.ID)
	}
	if m.limits.Closed || expired(e.Deadline, m.now) {
		t.Fatalf("%s is granted on a closed replica or after its deadline", e.ID)
	}
	if allowed := m.limits.Slots + m.overcommit(); e.Class == core.ClassOnline && m.onlineHeld() >= allowed {
		t.Fatalf("online %s is granted beyond the limit of %d slots", e.ID, allowed)
	}
	onlineWaits := m.count(func(e *modelReservation) bool { return e.Class == core.ClassOnline && e.status == statusWaiting })
	if e.Class == core.ClassBatch && (onlineWaits > 0 || m.inUse() >= m.limits.batchCap()) {
		t.Fatalf("batch %s is granted while online work waits or within the batch headroom", e.ID)
	}
	e.status, e.since = statusHeld, m.now
}

// applyEvents checks each event and applies it. It accepts repeated preemptions.
func (m *model) applyEvents(t *rapid.T, events []Event) {
	for _, ev := range events {
		e := m.entries[ev.ID]
		if e == nil {
			t.Fatalf("%s event for the unknown reservation %s", ev.Kind, ev.ID)
		}
		switch ev.Kind {
		case EventGranted:
			m.grant(t, e)
		case EventPreempted:
			if e.Class != core.ClassBatch || e.status == statusWaiting {
				t.Fatalf("preempted %s, which is not a held batch reservation", e.ID)
			}
			if e.status == statusHeld {
				m.checkYoungest(t, e)
			}
			e.status = statusDraining
		case EventExpired:
			if e.status != statusWaiting || !expired(e.Deadline, m.now) {
				t.Fatalf("%s expired while held or before its deadline", e.ID)
			}
			delete(m.entries, e.ID)
		case EventEvicted:
			if e.status != statusWaiting {
				t.Fatalf("%s is evicted while held", e.ID)
			}
			delete(m.entries, e.ID)
		default:
			t.Fatalf("unexpected event %s", ev.Kind)
		}
	}
}

func (m *model) checkYoungest(t *rapid.T, victim *modelReservation) {
	for _, e := range m.entries {
		if e.Class == core.ClassBatch && e.status == statusHeld && e.since.After(victim.since) {
			t.Fatalf("%s is preempted although %s is younger", victim.ID, e.ID)
		}
	}
}

// check compares the load of the ledger with the model and checks the
// invariants. It runs after each action.
func (m *model) check(t *rapid.T) {
	load := m.ledger.Load()
	want := Load{Replica: load.Replica, Slots: m.limits.Slots, InUse: m.inUse()}
	for _, e := range m.entries {
		switch {
		case e.status != statusWaiting && e.Class == core.ClassBatch:
			want.Batch++
		case e.status == statusWaiting && e.Class == core.ClassBatch:
			want.BatchQueued++
		case e.status == statusWaiting:
			want.Queued++
		}
	}
	if load != want {
		t.Fatalf("ledger load is %+v, want %+v by the holders", load, want)
	}
	for _, e := range m.entries {
		if e.status == statusWaiting && e.Class == core.ClassOnline && e.Tokens == 0 && m.onlineHeld() < m.limits.Slots {
			t.Fatalf("online %s waits although online work holds only %d of %d slots", e.ID, m.onlineHeld(), m.limits.Slots)
		}
	}
	active := m.count(func(e *modelReservation) bool { return e.status == statusHeld })
	batch := m.count(func(e *modelReservation) bool { return e.status == statusHeld && e.Class == core.ClassBatch })
	if batch > 0 && active > m.limits.Slots {
		t.Fatalf("batch work is not preempted while %d reservations hold %d slots", active, m.limits.Slots)
	}
}

func (m *model) drawRequest(t *rapid.T) Request {
	m.next++
	r := Request{
		ID:     core.ReservationID(fmt.Sprint(m.next)),
		Holder: rapid.SampledFrom([]core.NodeID{"a", "b", "c"}).Draw(t, "holder"),
		Class:  rapid.SampledFrom([]core.Class{core.ClassOnline, core.ClassBatch}).Draw(t, "class"),
		Org:    rapid.SampledFrom([]core.Org{"x", "y", "z"}).Draw(t, "org"),
		Tokens: rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 1, 1, 100}).Draw(t, "tokens"),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
		NoWait: rapid.Bool().Draw(t, "nowait"),
	}
	if wait := rapid.IntRange(-1, 20).Draw(t, "deadline"); wait >= 0 {
		r.Deadline = m.now.Add(time.Duration(wait) * 100 * time.Millisecond)
	}
	return r
}

func (m *model) pickReservation(t *rapid.T, match func(*modelReservation) bool) *modelReservation {
	found := slices.DeleteFunc(m.sorted(), func(e *modelReservation) bool { return !match(e) })
	if len(found) == 0 {
		t.Skip("no such reservation")
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(t, "index")]
}

// sorted returns the reservations in the order of their creation.
func (m *model) sorted() []*modelReservation {
	var all []*modelReservation
	for i := 1; i <= m.next; i++ {
		if e := m.entries[core.ReservationID(fmt.Sprint(i))]; e != nil {
			all = append(all, e)
		}
	}
	return all
}

func (m *model) reserve(t *rapid.T) {
	r := m.drawRequest(t)
	decision, events := m.ledger.Reserve(r, m.now)
	e := &modelReservation{Request: r, added: m.now}
	// Events of the same call precede the grant, except for the preemption that
	// frees the slot.
	var victims []Event
	for _, ev := range events {
		if ev.Kind == EventPreempted {
			victims = append(victims, ev)
			continue
		}
		m.applyEvents(t, []Event{ev})
	}
	m.applyEvents(t, victims)
	switch decision.Verdict {
	case VerdictGranted:
		m.grant(t, e)
		m.entries[r.ID] = e
	case VerdictQueued:
		if r.NoWait {
			t.Fatalf("%s is queued although NoWait is set", r.ID)
		}
		m.entries[r.ID] = e
	}
}

func (m *model) resend(t *rapid.T) {
	e := m.pickReservation(t, func(*modelReservation) bool { return true })
	want := VerdictGranted
	if e.status == statusWaiting {
		want = VerdictQueued
	}
	decision, events := m.ledger.Reserve(e.Request, m.now)
	if len(events) > 0 || decision.Verdict != want {
		t.Fatalf("resending %s returns %s and events %v, want %s without events", e.ID, decision.Verdict, events, want)
	}
}

func (m *model) release(t *rapid.T) {
	e := m.pickReservation(t, func(e *modelReservation) bool { return !e.releaseLost })
	delete(m.entries, e.ID)
	m.applyEvents(t, m.ledger.Release(e.ID, Outcome{Completed: rapid.Bool().Draw(t, "completed")}, m.now))
	if decision, _ := m.ledger.Reserve(e.Request, m.now); decision.Verdict != VerdictRefused {
		t.Fatalf("%s is reserved by a message that arrives after its release", e.ID)
	}
}

func (m *model) register(t *rapid.T) {
	r := m.drawRequest(t)
	age := time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second
	m.entries[r.ID] = &modelReservation{Request: r, status: statusHeld, since: m.now.Add(-age), added: m.now}
	m.applyEvents(t, m.ledger.Register(r, m.now.Add(-age), m.now))
}

// sync sends the list of one holder. Some reservations may be missing from it.
func (m *model) sync(t *rapid.T, holder core.NodeID) {
	var list []ListedReservation
	for _, e := range m.sorted() {
		missing := e.releaseLost || rapid.IntRange(0, 2).Draw(t, "missing") == 2
		switch {
		case e.Holder != holder:
		case !missing:
			e.missedLists = 0
			list = append(list, ListedReservation{Request: e.Request, Since: e.since, Waiting: e.status == statusWaiting})
		case m.now.Sub(e.added) > listGrace:
			if e.missedLists++; e.missedLists >= maxMissedLists {
				delete(m.entries, e.ID)
			}
		}
	}
	m.applyEvents(t, m.ledger.Sync(holder, list, m.now))
}

func (m *model) configure(t *rapid.T) {
	m.limits.Slots = rapid.IntRange(0, 5).Draw(t, "slots")
	m.limits.BatchHeadroom = rapid.IntRange(0, 2).Draw(t, "headroom")
	m.limits.Closed = rapid.IntRange(0, 4).Draw(t, "closed") == 0
	m.applyEvents(t, m.ledger.Configure(m.limits, m.now))
}

func (m *model) dropHolder(t *rapid.T) {
	for id, e := range m.entries {
		if e.Holder == "c" {
			delete(m.entries, id)
		}
	}
	m.applyEvents(t, m.ledger.DropHolder("c", m.now))
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	m.applyEvents(t, m.ledger.Tick(m.now))
}

// Guards against lost, duplicate and leaked reservations, more online grants than
// slots, batch work that delays online work, and waiters that never get an
// outcome. Random actions run on a ledger and on a model.
func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			limits:  Limits{Slots: 3, QueueLimit: 4, BatchHeadroom: 1},
			now:     time.Unix(1_000_000, 0),
			entries: make(map[core.ReservationID]*modelReservation),
		}
		m.ledger = NewLedger("r", m.limits)
		t.Repeat(map[string]func(*rapid.T){
			"":          m.check,
			"reserve":   m.reserve,
			"reserve2":  m.reserve,
			"resend":    m.resend,
			"release":   m.release,
			"register":  m.register,
			"sync":      func(t *rapid.T) { m.sync(t, "a") },
			"sync2":     func(t *rapid.T) { m.sync(t, "a") },
			"sync3":     func(t *rapid.T) { m.sync(t, "b") },
			"configure": m.configure,
			"drop":      m.dropHolder,
			"tick":      m.tick,
			"lose": func(t *rapid.T) {
				m.pickReservation(t, func(e *modelReservation) bool { return e.status != statusWaiting }).releaseLost = true
			},
		})
		m.releaseAll(t)
	})
}

// releaseAll removes all reservations by lists without them and checks that the
// ledger is empty.
func (m *model) releaseAll(t *rapid.T) {
	for _, e := range m.entries {
		e.releaseLost = true
	}
	for range maxMissedLists {
		m.now = m.now.Add(2 * time.Second)
		for _, holder := range []core.NodeID{"a", "b", "c"} {
			m.sync(t, holder)
		}
	}
	m.check(t)
	if !m.ledger.Idle() {
		t.Fatalf("the ledger is not empty: %+v", m.ledger.Dump())
	}
}
