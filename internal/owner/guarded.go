package owner

import (
	"sync"
	"time"
)

// guarded is one ledger and its mutex.
type guarded struct {
	mu     sync.Mutex
	ledger *Ledger
	// disowned is when this node ceased to own the replica; zero while it owns
	// it. It is read and written by the ticking goroutine only.
	disowned time.Time
}

// do runs f on the ledger and returns the events with the load after it.
func (g *guarded) do(f func(*Ledger) []Event) ([]Event, Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	events := f(g.ledger)
	if len(events) == 0 {
		return nil, Load{}
	}
	return events, g.ledger.Load()
}
