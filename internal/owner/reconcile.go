package owner

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// reconcile restores the invariants after a change: no waiter is past its
// deadline, batch reservations are preempted while more reservations are active
// than there are slots, and free slots are granted to waiters.
func (l *Ledger) reconcile(now time.Time) {
	l.expire(now)
	l.assumed.expire(now)
	for online, batch := l.active(); batch > 0 && online+batch > l.limits.Slots; online, batch = l.active() {
		l.preempt(now)
	}
	l.grantFreeSlots(now)
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

// grantFreeSlots grants free slots to waiters, online ones first.
func (l *Ledger) grantFreeSlots(now time.Time) {
	for {
		next := l.nextOnline()
		if next == nil {
			next = l.nextBatch()
		}
		if next == nil || !l.mayGrant(next) {
			return
		}
		l.counters.GrantedLater++
		l.dequeue(next)
		l.grant(next, now)
		l.emit(EventGranted, next)
	}
}

// mayGrant reports whether the entry may be granted a slot now. For online work
// a slot that is held by batch work counts as free, because it is preempted.
func (l *Ledger) mayGrant(entry *reservation) bool {
	if l.limits.Closed {
		return false
	}
	if !entry.online() {
		inUse := len(l.held) + l.assumed.count[core.ClassOnline] + l.assumed.count[core.ClassBatch]
		return inUse < l.limits.batchCap() && !l.hasOnlineWaiter()
	}
	online, _ := l.active()
	if online+l.assumed.count[core.ClassOnline] >= l.limits.Slots+l.overcommit() {
		return false
	}
	return !entry.long || l.longHeld() < l.limits.longCap()
}

// overcommit returns the number of online requests granted beyond the number of
// slots. With a backlog, one request is queued in the backend server itself,
// which starts it in the first step after a slot becomes free. A request that is
// granted only on the release arrives in the middle of a step and loses up to
// one step. Without a backlog the backend server's queue stays empty, because it
// ignores the order of this ledger.
func (l *Ledger) overcommit() int {
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
	l.fairQueues[entry.Class].charge(entry.Org, entry.cost, entry.Weight, l.minVirtualTime(entry))
	l.hold(entry, now)
}

func (l *Ledger) hold(entry *reservation, since time.Time) {
	entry.status, entry.since = statusHeld, since
	l.byID[entry.ID] = entry
	l.held = append(l.held, entry)
}

// preempt preempts the batch reservation that was granted last, which loses the
// least work.
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

// younger reports whether a was granted after b.
func younger(a, b *reservation) bool {
	if !a.since.Equal(b.since) {
		return a.since.After(b.since)
	}
	return a.sequence > b.sequence
}

// active counts the reservations that hold a slot and are not preempted.
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
