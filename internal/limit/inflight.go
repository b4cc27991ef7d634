package limit

import (
	"maps"
	"sync"

	"gentiantide.example/gentiantide/internal/core"
)

// InFlightLimiter limits each organisation's concurrent requests at this node. It
// is safe for concurrent use.
type InFlightLimiter struct {
	mu     sync.Mutex
	counts map[core.Org]int
}

// NewInFlightLimiter returns a limiter with no requests in flight.
func NewInFlightLimiter() *InFlightLimiter { return &InFlightLimiter{counts: make(map[core.Org]int)} }

// Acquire counts one request. It returns false, and counts nothing, if the
// organisation already has limit requests in flight; a limit of 0 or less means
// no limit. Each call that returned true must be followed by a call of Release.
func (f *InFlightLimiter) Acquire(org core.Org, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[org] >= limit {
		return false
	}
	f.counts[org]++
	return true
}

// Release ends one request that Acquire counted.
func (f *InFlightLimiter) Release(org core.Org) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[org]--; f.counts[org] <= 0 {
		delete(f.counts, org)
	}
}

// Counts returns a copy of the requests in flight by organisation, for the state
// dump.
func (f *InFlightLimiter) Counts() map[core.Org]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}
