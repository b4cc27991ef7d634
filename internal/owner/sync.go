package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ListedReservation is one reservation in a holder's list of its reservations.
type ListedReservation struct {
	Request
	// Since is when the holder was granted the slot.
	Since time.Time
	// Waiting is set if the holder still waits for the slot.
	Waiting bool
}

// Sync compares the ledger with the complete list of a holder's reservations
// on this replica. It adds unknown held reservations, repeats events that the
// holder missed, and drops reservations that are missing from maxMissedLists
// consecutive lists.
func (l *Ledger) Sync(holder core.NodeID, list []ListedReservation, now time.Time) []Event {
	listed := make(map[core.ReservationID]bool, len(list))
	for _, item := range list {
		listed[item.ID] = true
		item.Holder = holder
		l.syncReservation(item, now)
	}
	for _, entry := range l.reservationsOf(holder) {
		l.countMissedList(entry, listed[entry.ID], now)
	}
	l.reconcile(now)
	return l.takeEvents()
}

// Add adds the reservations of an incomplete list, which a holder sends after
// this node became the owner.
func (l *Ledger) Add(holder core.NodeID, list []ListedReservation, now time.Time) []Event {
	for _, item := range list {
		item.Holder = holder
		l.syncReservation(item, now)
	}
	l.reconcile(now)
	return l.takeEvents()
}

func (l *Ledger) syncReservation(item ListedReservation, now time.Time) {
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

func (l *Ledger) countMissedList(entry *reservation, listed bool, now time.Time) {
	if listed {
		entry.missedLists = 0
		return
	}
	if now.Sub(entry.added) <= listGrace {
		return
	}
	if entry.missedLists++; entry.missedLists >= maxMissedLists {
		l.counters.Dropped++
		l.remove(entry)
	}
}
