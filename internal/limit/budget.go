package limit

import (
	"sync"
	"time"
)

const (
	// tokensPerSecond is the number of retries per second that are allowed even
	// without successes, so that a node with little traffic can retry at all.
	tokensPerSecond = 1.0
	// maxTokens is the bucket size. It limits the retries that can accumulate
	// while requests succeed, and so the retry storm of a later outage.
	maxTokens = 20.0
)

// RetryBudget is a token bucket that limits retries, hedges and resumes. Each
// costs one token; successful requests and the passing of time add tokens. It is
// safe for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a budget that holds the tokens of one second without
// successes.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: tokensPerSecond, lastRefill: now}
}

// RecordSuccess records a successful request: it adds ratio tokens, clamped to the
// range 0 to 1.
func (b *RetryBudget) RecordSuccess(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+min(1, max(0, ratio)))
}

// Take takes one token. It returns false if less than one is available. A time
// before that of an earlier call adds no tokens.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(maxTokens, b.tokens+elapsed.Seconds()*tokensPerSecond)
		b.lastRefill = now
	}
	// Ratios such as 0.1 are inexact in binary; ten of them must add up to one
	// token.
	const epsilon = 1e-9
	if b.tokens < 1-epsilon {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the available tokens for the state dump.
func (b *RetryBudget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
