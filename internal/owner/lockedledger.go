package owner

import (
	"sync"
	"time"
)

// lockedLedger is a ledger with the mutex that guards it.
type lockedLedger struct {
	mu     sync.Mutex
	ledger *Ledger
	// notOwnedSince is when this node was first seen not to own the replica;
	// zero while it owns it. Only the goroutine that calls Tick accesses it.
	notOwnedSince time.Time
}

// update runs f on the ledger with the mutex held. It returns the events of f
// and, if there are any, the load after it.
func (l *lockedLedger) update(f func(*Ledger) []Event) ([]Event, Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := f(l.ledger)
	if len(events) == 0 {
		return nil, Load{}
	}
	return events, l.ledger.Load()
}
