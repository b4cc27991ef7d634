package load

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/bench/client"
)

// Options are the limits of a run.
type Options struct {
	// Timeout is the limit of a call, counted from its scheduled arrival.
	Timeout time.Duration
}

// Run sends the calls, which must be sorted by arrival, and waits for their results.
// If ctx ends, the remaining calls are not sent and have no sample.
func Run(ctx context.Context, c *client.Client, calls []Call, o Options) []Sample {
	samples := make([]Sample, len(calls))
	// Timers of the Go runtime fire late when many responses are being read, since
	// they share threads with the readers. A locked thread that sleeps in the kernel
	// keeps the schedule.
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
	sendDelay := time.Since(due)
	return Sample{At: call.At, Kind: call.Kind, SendDelay: sendDelay, Result: c.Do(ctx, call.Call)}
}

// sleepUntil blocks the thread until a point in time. It returns false if ctx ended
// before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	const maxSleep = 50 * time.Millisecond // between checks of ctx
	for ctx.Err() == nil {
		d := time.Until(at)
		if d <= 0 {
			return true
		}
		pause := syscall.NsecToTimespec(int64(min(d, maxSleep)))
		_ = syscall.Nanosleep(&pause, nil) // the loop continues an interrupted sleep
	}
	return false
}
