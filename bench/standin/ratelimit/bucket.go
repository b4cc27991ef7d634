// Package ratelimit models the limited capacity of a service: a token bucket
// whose excess waits for a bounded time and is then refused.
package ratelimit

import (
	"context"
	"sync"
	"time"
)

// Bucket is a token bucket. Callers are served in the order of their calls.
type Bucket struct {
	mu      sync.Mutex
	rate    float64 // tokens per second
	burst   time.Duration
	maxWait time.Duration
	next    time.Time // when the next token is free
}

// NewBucket returns a bucket of rate tokens per second (0 or less: unlimited).
// An idle bucket saves up tokens for the time burst. A caller that would wait
// longer than maxWait is refused.
func NewBucket(rate float64, burst, maxWait time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, maxWait: maxWait}
}

// Take waits for n tokens. It returns false at once if the wait would be too
// long; tokens taken are used up even if ctx ends during the wait.
func (b *Bucket) Take(ctx context.Context, n int) bool {
	wait, ok := b.reserve(time.Now(), n)
	if !ok {
		return false
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Bucket) reserve(now time.Time, n int) (time.Duration, bool) {
	if b.rate <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if earliest := now.Add(-b.burst); b.next.Before(earliest) {
		b.next = earliest
	}
	cost := time.Duration(float64(n) / b.rate * float64(time.Second))
	wait := b.next.Add(cost).Sub(now)
	if wait > b.maxWait {
		return 0, false
	}
	b.next = b.next.Add(cost)
	return wait, true
}
