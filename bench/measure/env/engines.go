package env

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/standin/engine"
)

// Totals sums the counts of all engines.
func (e *Env) Totals(ctx context.Context) (engine.Stats, error) {
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

// Slow multiplies the step times of the engines with these indexes and sets
// those of all others back.
func (e *Env) Slow(factor float64, indexes ...int) error {
	slow := make(map[int]bool)
	for _, i := range indexes {
		slow[i] = true
	}
	for i, b := range e.Fleet.Engines {
		var f engine.Fault
		if slow[i] {
			f.Slowdown = engine.Factor(factor)
		}
		if err := e.Fleet.Fault(b.URL(), f); err != nil {
			return err
		}
	}
	return nil
}

// SlowAll multiplies the step times of all engines.
func (e *Env) SlowAll(factor float64) error {
	all := make([]int, len(e.Fleet.Engines))
	for i := range all {
		all[i] = i
	}
	return e.Slow(factor, all...)
}

// AwaitIdle waits until no engine has work.
func (e *Env) AwaitIdle(ctx context.Context) error {
	for start := time.Now(); ; time.Sleep(idlePoll) {
		sum, err := e.Totals(ctx)
		if err != nil {
			return err
		}
		if sum.Running+sum.Waiting == 0 {
			return nil
		}
		if time.Since(start) > idleWait {
			return errors.Errorf("engines still run %d requests and queue %d after %s", sum.Running, sum.Waiting, idleWait)
		}
	}
}
