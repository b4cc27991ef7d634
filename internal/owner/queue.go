package owner

import (
	"math"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

func (l *Ledger) enqueue(entry *reservation) {
	entry.status = statusWaiting
	l.byID[entry.ID] = entry
	l.waiting = append(l.waiting, entry)
}

func (l *Ledger) unqueue(entry *reservation) {
	i := slices.Index(l.waiting, entry)
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

func (l *Ledger) onlineWaits() bool {
	return slices.ContainsFunc(l.waiting, (*reservation).online)
}

// nextOnline returns the online waiter that is next: of the organisations
// within the quantum of the smallest virtual time, the one with the lowest
// rank. Long requests are passed over while long ones hold their share of the
// slots.
func (l *Ledger) nextOnline() *reservation {
	skipLong := l.longHeld() >= l.limits.longCap()
	eligible := func(w *reservation) bool { return w.online() && (!w.long || !skipLong) }
	fair := &l.fair[core.ClassOnline]
	least := math.Inf(1)
	for _, w := range l.waiting {
		if eligible(w) {
			least = min(least, fair.of(w.Org))
		}
	}
	limit := least + fairnessQuantum*l.meanService(core.ClassOnline)
	var best *reservation
	for _, w := range l.waiting {
		if !eligible(w) || fair.of(w.Org) > limit {
			continue
		}
		if best == nil || w.rank < best.rank || (w.rank == best.rank && w.sequence < best.sequence) {
			best = w
		}
	}
	return best
}

// nextBatch returns the batch waiter that is due first, and of those due at the
// same time the one whose organisation has the smallest virtual time.
func (l *Ledger) nextBatch() *reservation {
	var best *reservation
	for _, w := range l.waiting {
		if !w.online() && (best == nil || l.batchBefore(w, best)) {
			best = w
		}
	}
	return best
}

func (l *Ledger) batchBefore(a, b *reservation) bool {
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	fair := &l.fair[core.ClassBatch]
	if x, y := fair.of(a.Org), fair.of(b.Org); x != y {
		return x < y
	}
	return a.sequence < b.sequence
}

// floor returns the smallest virtual time of the entry's organisation and of
// those that wait in its class.
func (l *Ledger) floor(entry *reservation) float64 {
	fair := &l.fair[entry.Class]
	least := fair.of(entry.Org)
	for _, w := range l.waiting {
		if w.Class == entry.Class {
			least = min(least, fair.of(w.Org))
		}
	}
	return least
}

// expectedWait estimates how long the new entry would wait: the work that is
// served before it, spread over the slots, plus the time until the next slot
// becomes free. Other organisations are served before it until their virtual
// time reaches the entry's.
func (l *Ledger) expectedWait(entry *reservation) time.Duration {
	if l.service[entry.Class].count == 0 {
		return 0
	}
	ahead := l.workAhead(entry) + l.meanService(entry.Class)
	return time.Duration(ahead / float64(max(1, l.limits.Slots)) * float64(time.Second))
}

func (l *Ledger) workAhead(entry *reservation) float64 {
	fair := &l.fair[entry.Class]
	own := 0.0
	others := make(map[core.Org]float64)
	weights := make(map[core.Org]int)
	for _, w := range l.waiting {
		switch {
		case w.Class != entry.Class:
		case w.Org != entry.Org:
			others[w.Org] += w.cost
			weights[w.Org] = w.Weight
		case w.rank <= entry.rank:
			own += w.cost
		}
	}
	start := fair.of(entry.Org) + own/float64(entry.Weight)
	ahead := own
	for org, work := range others {
		ahead += min(work, max(0, start-fair.of(org))*float64(weights[org]))
	}
	return ahead
}

// tooLate reports whether the expected wait exceeds the time to the deadline.
// Batch work is not refused for that: its deadlines are far away.
func (l *Ledger) tooLate(entry *reservation, wait time.Duration, now time.Time) bool {
	if !entry.online() || entry.Deadline.IsZero() {
		return false
	}
	return now.Add(time.Duration(float64(wait) * waitMargin)).After(entry.Deadline)
}

// makeRoom reports whether the entry may join its queue. In a full queue, the
// organisation with the most waiters per weight gives up its last one to an
// organisation with fewer, so that one organisation cannot fill the queue.
func (l *Ledger) makeRoom(entry *reservation) bool {
	total := 0
	count := make(map[core.Org]int)
	last := make(map[core.Org]*reservation)
	for _, w := range l.waiting {
		if w.Class != entry.Class {
			continue
		}
		total++
		count[w.Org]++
		if old := last[w.Org]; old == nil || w.rank >= old.rank {
			last[w.Org] = w
		}
	}
	if total < l.limits.QueueLimit {
		return true
	}
	var victim *reservation
	most := float64(count[entry.Org]+1) / float64(entry.Weight)
	for _, w := range l.waiting {
		if w.Class != entry.Class || last[w.Org] != w {
			continue
		}
		if share := float64(count[w.Org]) / float64(w.Weight); share > most {
			victim, most = w, share
		}
	}
	if victim == nil {
		return false
	}
	l.counters.Evicted++
	l.remove(victim)
	l.emit(EventEvicted, victim)
	return true
}
