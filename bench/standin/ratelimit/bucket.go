// Package ratelimit models the limited capacity of a service by a token bucket.
// Calls over the limit wait; those that would wait too long are rejected.
package ratelimit

import (
	"context"
	"sync"
	"time"
)

// Bucket is a token bucket. It serves calls in order of arrival.
type Bucket struct {
	mu      sync.Mutex
	rate    float64 // tokens per second
	burst   time.Duration
	maxWait time.Duration
	next    time.Time // when the next token becomes available
}

// NewBucket returns a bucket that refills at rate tokens per second (0 or less:
// unlimited). An idle bucket accumulates the tokens of the duration burst. A call
// that would wait longer than maxWait is rejected.
func NewBucket(rate float64, burst, maxWait time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, maxWait: maxWait}
}

// Take waits for n tokens. It returns false at once if the wait would exceed the
// maximum, and false if ctx ends during the wait. In the latter case the tokens
// are used up nevertheless.
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

// reserve takes n tokens and returns how long to wait for them. If the wait would
// exceed the maximum, it takes none and returns false.
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
