package load

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
)

// Options bound a run.
type Options struct {
	// Timeout ends a call, counted from its scheduled arrival.
	Timeout time.Duration
}

// Run sends the calls, which are sorted by time, and waits for their answers.
func Run(ctx context.Context, c *client.Client, calls []Call, o Options) []Sample {
	samples := make([]Sample, len(calls))
	start := time.Now()
	var wait sync.WaitGroup
	for i := range calls {
		if !sleepUntil(ctx, start.Add(calls[i].At)) {
			samples = samples[:i]
			break
		}
		wait.Go(func() { samples[i] = send(ctx, c, &calls[i], start, o) })
	}
	wait.Wait()
	return samples
}

func send(ctx context.Context, c *client.Client, call *Call, start time.Time, o Options) Sample {
	due := start.Add(call.At)
	ctx, cancel := context.WithDeadline(ctx, due.Add(o.Timeout))
	defer cancel()
	late := time.Since(due)
	return Sample{At: call.At, Kind: call.Kind, Late: late, Result: c.Do(ctx, call.Call)}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
