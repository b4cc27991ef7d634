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

func (l *Ledger) dequeue(entry *reservation) {
	i := slices.Index(l.waiting, entry)
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

func (l *Ledger) hasOnlineWaiter() bool {
	return slices.ContainsFunc(l.waiting, (*reservation).online)
}

// nextOnline returns the online waiter to be served next, or nil. Among the
// organisations whose virtual time is within fairnessQuantum of the smallest, it
// is the waiter with the lowest rank. Long requests are skipped while long
// requests hold all the slots that longCap allows them.
func (l *Ledger) nextOnline() *reservation {
	skipLong := l.longHeld() >= l.limits.longCap()
	eligible := func(w *reservation) bool { return w.online() && (!w.long || !skipLong) }
	queue := &l.fairQueues[core.ClassOnline]
	minStart := math.Inf(1)
	for _, w := range l.waiting {
		if eligible(w) {
			minStart = min(minStart, queue.startTime(w.Org))
		}
	}
	limit := minStart + fairnessQuantum*l.meanServiceTime(core.ClassOnline)
	var best *reservation
	for _, w := range l.waiting {
		if !eligible(w) || queue.startTime(w.Org) > limit {
			continue
		}
		if best == nil || w.rank < best.rank || (w.rank == best.rank && w.sequence < best.sequence) {
			best = w
		}
	}
	return best
}

// nextBatch returns the batch waiter that is due first, or nil. Among those due
// at the same time it is the one whose organisation has the smallest virtual
// time.
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
	queue := &l.fairQueues[core.ClassBatch]
	if x, y := queue.startTime(a.Org), queue.startTime(b.Org); x != y {
		return x < y
	}
	return a.sequence < b.sequence
}

// minVirtualTime returns the smallest virtual time among the entry's
// organisation and the organisations with waiters of the same class.
func (l *Ledger) minVirtualTime(entry *reservation) float64 {
	queue := &l.fairQueues[entry.Class]
	minStart := queue.startTime(entry.Org)
	for _, w := range l.waiting {
		if w.Class == entry.Class {
			minStart = min(minStart, queue.startTime(w.Org))
		}
	}
	return minStart
}

// expectedWait estimates how long a new entry would wait: the work served before
// it plus one mean service time, until a slot becomes free, divided by the
// number of slots. It is 0 while the service time is unknown.
func (l *Ledger) expectedWait(entry *reservation) time.Duration {
	if l.serviceTimes[entry.Class].count == 0 {
		return 0
	}
	work := l.workAhead(entry) + l.meanServiceTime(entry.Class)
	return time.Duration(work / float64(max(1, l.limits.Slots)) * float64(time.Second))
}

// workAhead returns the service time of the waiters that are served before the
// entry. Other organisations are served first until their virtual time reaches
// the entry's.
func (l *Ledger) workAhead(entry *reservation) float64 {
	queue := &l.fairQueues[entry.Class]
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
	start := queue.startTime(entry.Org) + own/float64(entry.Weight)
	total := own
	for org, work := range others {
		total += min(work, max(0, start-queue.startTime(org))*float64(weights[org]))
	}
	return total
}

// wouldMissDeadline reports whether the expected wait, with waitMargin, exceeds
// the time to the deadline. It is always false for batch work, whose deadlines
// are far in the future.
func (l *Ledger) wouldMissDeadline(entry *reservation, wait time.Duration, now time.Time) bool {
	if !entry.online() || entry.Deadline.IsZero() {
		return false
	}
	return now.Add(time.Duration(float64(wait) * waitMargin)).After(entry.Deadline)
}

// makeRoom reports whether the entry may join the queue of its class. If the
// queue is full, it evicts the last waiter of the organisation with the most
// waiters per weight, provided that the entry's organisation has fewer. So one
// organisation cannot fill the queue.
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
		if previous := last[w.Org]; previous == nil || w.rank >= previous.rank {
			last[w.Org] = w
		}
	}
	if total < l.limits.QueueLimit {
		return true
	}
	var victim *reservation
	maxShare := float64(count[entry.Org]+1) / float64(entry.Weight)
	for _, w := range l.waiting {
		if w.Class != entry.Class || last[w.Org] != w {
			continue
		}
		if share := float64(count[w.Org]) / float64(w.Weight); share > maxShare {
			victim, maxShare = w, share
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
