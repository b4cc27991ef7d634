package limit

import (
	"maps"
	"sync"

	"gentiantide.example/gentiantide/internal/core"
)

// InFlight limits each organisation's concurrent requests at this node. It is
// safe for concurrent use.
type InFlight struct {
	mu     sync.Mutex
	counts map[core.Org]int
}

// NewInFlight returns a limiter with no requests in flight.
func NewInFlight() *InFlight { return &InFlight{counts: make(map[core.Org]int)} }

// Enter counts one request. It returns false, and counts nothing, if the
// organisation already has limit requests in flight; a limit of 0 or less means
// no limit. Each call that returned true must be followed by one call of Leave.
func (f *InFlight) Enter(org core.Org, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[org] >= limit {
		return false
	}
	f.counts[org]++
	return true
}

// Leave ends one request that Enter counted.
func (f *InFlight) Leave(org core.Org) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[org]--; f.counts[org] <= 0 {
		delete(f.counts, org)
	}
}

// Counts returns a copy of the requests in flight by organisation, for the state
// dump.
func (f *InFlight) Counts() map[core.Org]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}
