package limit

import (
	"maps"
	"sync"

	"gentiantide.example/gentiantide/internal/core"
)

// InFlightLimiter bounds each organisation's requests at this node. It is safe for
// concurrent use.
type InFlightLimiter struct {
	mu     sync.Mutex
	counts map[core.Org]int
}

// NewInFlightLimiter returns an InFlight without requests.
func NewInFlightLimiter() *InFlightLimiter { return &InFlightLimiter{counts: make(map[core.Org]int)} }

// Acquire counts one request, or returns false if the organisation already has
// limit of them; a limit of 0 or less is no bound. Each Acquire that returned
// true is followed by one Leave.
func (f *InFlightLimiter) Acquire(org core.Org, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[org] >= limit {
		return false
	}
	f.counts[org]++
	return true
}

// Release takes one request off.
func (f *InFlightLimiter) Release(org core.Org) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[org]--; f.counts[org] <= 0 {
		delete(f.counts, org)
	}
}

// Counts returns a copy of the counts, for the state dump.
func (f *InFlightLimiter) Counts() map[core.Org]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}
