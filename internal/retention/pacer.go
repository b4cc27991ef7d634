package retention

import (
	"context"
	"time"
)

// pacer limits the rate of operations by spacing them evenly. Only one goroutine
// may use it.
type pacer struct {
	rate float64 // operations per second
	next time.Time
}

// wait waits until n more operations may start. Idle time does not accumulate
// into a burst.
func (p *pacer) wait(ctx context.Context, n int) error {
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	d := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
