package limit

import (
	"maps"
	"sync"

	"gentiantide.example/gentiantide/internal/core"
)

// InFlight bounds each organisation's requests at this node. It is safe for
// concurrent use.
type InFlight struct {
	mu     sync.Mutex
	counts map[core.Org]int
}

// NewInFlight returns an InFlight without requests.
func NewInFlight() *InFlight { return &InFlight{counts: make(map[core.Org]int)} }

// Enter counts one request, or returns false if the organisation already has
// limit of them; a limit of 0 or less is no bound. Each Enter that returned
// true is followed by one Leave.
func (f *InFlight) Enter(org core.Org, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[org] >= limit {
		return false
	}
	f.counts[org]++
	return true
}

// Leave takes one request off.
func (f *InFlight) Leave(org core.Org) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[org]--; f.counts[org] <= 0 {
		delete(f.counts, org)
	}
}

// Counts returns a copy of the counts, for the state dump.
func (f *InFlight) Counts() map[core.Org]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}
