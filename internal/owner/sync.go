package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Listed is one reservation in a holder's list of its live reservations.
type Listed struct {
	Request
	// Since is when the holder got the slot.
	Since time.Time
	// Waiting is set while the holder waits for the slot.
	Waiting bool
}

// Sync compares the ledger with the complete list of a holder's reservations
// on this replica. It adds held ones that are unknown, repeats events that the
// holder missed, and drops reservations that are missing from consecutive
// lists.
func (l *Ledger) Sync(holder core.NodeID, list []Listed, now time.Time) []Event {
	listed := make(map[core.ReservationID]bool, len(list))
	for _, item := range list {
		listed[item.ID] = true
		item.Holder = holder
		l.syncOne(item, now)
	}
	for _, entry := range l.ofHolder(holder) {
		l.countMissed(entry, listed[entry.ID], now)
	}
	l.settle(now)
	return l.take()
}

// Add adds the reservations of an incomplete list, after ownership moved here.
func (l *Ledger) Add(holder core.NodeID, list []Listed, now time.Time) []Event {
	for _, item := range list {
		item.Holder = holder
		l.syncOne(item, now)
	}
	l.settle(now)
	return l.take()
}

func (l *Ledger) syncOne(item Listed, now time.Time) {
	entry := l.byID[item.ID]
	switch {
	case !item.Waiting:
		l.register(item.Request, item.Since, now)
		if entry != nil && entry.status == statusDraining {
			l.emit(EventPreempted, entry)
		}
	case entry == nil:
		l.events = append(l.events, Event{Kind: EventLost, ID: item.ID, Holder: item.Holder})
	case entry.status != statusWaiting:
		l.emit(EventGranted, entry)
	}
}

func (l *Ledger) countMissed(entry *reservation, listed bool, now time.Time) {
	if listed {
		entry.missed = 0
		return
	}
	if now.Sub(entry.added) <= listGrace {
		return
	}
	if entry.missed++; entry.missed >= maxMissedLists {
		l.counters.Dropped++
		l.remove(entry)
	}
}
