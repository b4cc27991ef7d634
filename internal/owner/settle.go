package owner

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// settle restores the invariants after a change: no waiter past its deadline,
// batch gives way when the slots are overcommitted, free slots are granted.
func (l *Ledger) settle(now time.Time) {
	l.expire(now)
	l.assumed.expire(now)
	for online, batch := l.active(); batch > 0 && online+batch > l.limits.Slots; online, batch = l.active() {
		l.preempt(now)
	}
	l.fill(now)
}

func (l *Ledger) expire(now time.Time) {
	for _, entry := range slices.Clone(l.waiting) {
		switch {
		case l.limits.Closed:
			l.counters.Evicted++
			l.remove(entry)
			l.emit(EventEvicted, entry)
		case expired(entry.Deadline, now):
			l.counters.Expired++
			l.remove(entry)
			l.emit(EventExpired, entry)
		}
	}
}

// fill grants free slots to waiters, online first.
func (l *Ledger) fill(now time.Time) {
	for {
		next := l.nextOnline()
		if next == nil {
			next = l.nextBatch()
		}
		if next == nil || !l.mayGrant(next) {
			return
		}
		l.counters.GrantedLater++
		l.unqueue(next)
		l.grant(next, now)
		l.emit(EventGranted, next)
	}
}

// mayGrant reports whether the entry may have a slot now, for online work also
// by preemption.
func (l *Ledger) mayGrant(entry *reservation) bool {
	if l.limits.Closed {
		return false
	}
	if !entry.online() {
		taken := len(l.held) + l.assumed.count[core.ClassOnline] + l.assumed.count[core.ClassBatch]
		return taken < l.limits.batchCap() && !l.onlineWaits()
	}
	online, _ := l.active()
	if online+l.assumed.count[core.ClassOnline] >= l.limits.Slots+l.ahead() {
		return false
	}
	return !entry.long || l.longHeld() < l.limits.longCap()
}

// ahead returns the number of online requests granted beyond the slots. With a
// backlog, one request waits in the engine itself: a released slot is then
// taken in the next step, while a request that is granted on the release
// reaches the engine in the middle of one and loses up to a step. Without a
// backlog the engine's queue, which knows no order, stays empty.
func (l *Ledger) ahead() int {
	waiting := 0
	for _, entry := range l.waiting {
		if entry.online() {
			waiting++
		}
	}
	if waiting >= minBacklog && 2*waiting >= l.limits.Slots {
		return 1
	}
	return 0
}

func (l *Ledger) grant(entry *reservation, now time.Time) {
	if online, batch := l.active(); entry.online() && online+batch >= l.limits.Slots {
		l.preempt(now)
	}
	l.fair[entry.Class].charge(entry.Org, entry.cost, entry.Weight, l.floor(entry))
	l.hold(entry, now)
}

func (l *Ledger) hold(entry *reservation, since time.Time) {
	entry.status, entry.since = statusHeld, since
	l.byID[entry.ID] = entry
	l.held = append(l.held, entry)
}

// preempt takes the slot of the youngest batch reservation, which has the
// least work to lose.
func (l *Ledger) preempt(now time.Time) {
	var victim *reservation
	for _, entry := range l.held {
		if entry.online() || entry.status != statusHeld {
			continue
		}
		if victim == nil || younger(entry, victim) {
			victim = entry
		}
	}
	if victim == nil {
		return
	}
	l.counters.Preempted++
	victim.status, victim.since = statusDraining, now
	l.emit(EventPreempted, victim)
}

func younger(a, b *reservation) bool {
	if !a.since.Equal(b.since) {
		return a.since.After(b.since)
	}
	return a.sequence > b.sequence
}

// active counts the reservations that hold a slot and were not preempted.
func (l *Ledger) active() (online, batch int) {
	for _, entry := range l.held {
		switch {
		case entry.status != statusHeld:
		case entry.online():
			online++
		default:
			batch++
		}
	}
	return online, batch
}

func (l *Ledger) longHeld() int {
	n := 0
	for _, entry := range l.held {
		if entry.long {
			n++
		}
	}
	return n
}
