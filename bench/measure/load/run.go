package load

import (
	"context"
	"runtime"
	"sync"
	"syscall"
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
	// The timers of the runtime share threads with the answers that are read;
	// a thread of its own keeps the schedule when many answers arrive.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
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

// sleepUntil blocks the thread until a time. It returns false if ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	const longest = 50 * time.Millisecond // between two looks at ctx
	for ctx.Err() == nil {
		d := time.Until(at)
		if d <= 0 {
			return true
		}
		pause := syscall.NsecToTimespec(int64(min(d, longest)))
		_ = syscall.Nanosleep(&pause, nil) // an interrupted sleep is continued
	}
	return false
}
