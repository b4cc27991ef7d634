package env

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/standin/engine"
)

// EngineStats returns the sums of the counts of all engines.
func (e *Env) EngineStats(ctx context.Context) (engine.Stats, error) {
	all := make([]engine.Stats, len(e.Fleet.Engines))
	failed := make([]error, len(all))
	var wait sync.WaitGroup
	for i, b := range e.Fleet.Engines {
		wait.Go(func() { failed[i] = e.Fleet.GetJSON(ctx, b.URL()+"/stats", &all[i]) })
	}
	wait.Wait()
	var sum engine.Stats
	for i, s := range all {
		if failed[i] != nil {
			return sum, failed[i]
		}
		sum.Started += s.Started
		sum.Completed += s.Completed
		sum.Cancelled += s.Cancelled
		sum.Tokens += s.Tokens
		sum.Steps += s.Steps
		sum.Running += s.Running
		sum.Waiting += s.Waiting
	}
	return sum, nil
}

// SetSlowdown multiplies the step times of the engines with these indexes by factor
// and resets those of all others.
func (e *Env) SetSlowdown(factor float64, indexes ...int) error {
	slow := make(map[int]bool)
	for _, i := range indexes {
		slow[i] = true
	}
	for i, b := range e.Fleet.Engines {
		var f engine.Fault
		if slow[i] {
			f.Slowdown = engine.Factor(factor)
		}
		if err := e.Fleet.SetFault(b.URL(), f); err != nil {
			return err
		}
	}
	return nil
}

// SetSlowdownAll multiplies the step times of all engines by factor.
func (e *Env) SetSlowdownAll(factor float64) error {
	all := make([]int, len(e.Fleet.Engines))
	for i := range all {
		all[i] = i
	}
	return e.SetSlowdown(factor, all...)
}

// AwaitIdle waits until no engine has running or queued requests.
func (e *Env) AwaitIdle(ctx context.Context) error {
	for start := time.Now(); ; time.Sleep(pollInterval) {
		sum, err := e.EngineStats(ctx)
		if err != nil {
			return err
		}
		if sum.Running+sum.Waiting == 0 {
			return nil
		}
		if time.Since(start) > idleTimeout {
			return errors.Errorf("engines still run %d requests and queue %d after %s", sum.Running, sum.Waiting, idleTimeout)
		}
	}
}
