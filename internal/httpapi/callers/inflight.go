package callers

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// inFlight counts the requests in progress of each organisation.
type inFlight struct {
	mu     sync.Mutex
	counts map[core.Org]int
}

func newInFlight() *inFlight { return &inFlight{counts: make(map[core.Org]int)} }

// enter counts a request, or refuses it if limit (0: none) are in progress.
func (f *inFlight) enter(org core.Org, limit int) *core.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit > 0 && f.counts[org] >= limit {
		refusal := core.Refuse(core.CodeOverloaded, "too many requests of the organisation are in progress")
		refusal.RetryAfter = time.Second
		return refusal
	}
	f.counts[org]++
	return nil
}

// leave ends a request that enter counted.
func (f *inFlight) leave(org core.Org) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[org]--; f.counts[org] <= 0 {
		delete(f.counts, org)
	}
}
