package limit

import (
	"sync"
	"time"
)

const (
	// budgetFloor is the number of retries per second that are allowed without
	// successes, so that a quiet node can retry at all.
	budgetFloor = 1.0
	// budgetBurst bounds the saved retries. It keeps a long good time from
	// paying for a storm of retries.
	budgetBurst = 20.0
)

// RetryBudget is a token bucket of retries, hedges and resumes that successes fill.
// It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a budget that allows as many retries as a second without
// successes gives.
func NewRetryBudget(now time.Time) *RetryBudget { return &RetryBudget{tokens: budgetFloor, last: now} }

// RecordSuccess adds the given share of one retry, 0 to 1.
func (b *RetryBudget) RecordSuccess(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+min(1, max(0, ratio)))
}

// Take spends one retry, or returns false if there is none.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(budgetBurst, b.tokens+elapsed.Seconds()*budgetFloor)
		b.last = now
	}
	// Shares are inexact in binary: ten tenths must make one.
	const epsilon = 1e-9
	if b.tokens < 1-epsilon {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries left, for the state dump.
func (b *RetryBudget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
