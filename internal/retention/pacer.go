package retention

import (
	"context"
	"time"
)

// pacer spaces operations. It is used by one goroutine.
type pacer struct {
	rate float64 // operations a second
	next time.Time
}

// wait waits until n more operations may be done. Time that was not used is
// not saved up.
func (p *pacer) wait(ctx context.Context, n int) error {
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	d := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	return pause(ctx, d)
}

func pause(ctx context.Context, d time.Duration) error {
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
