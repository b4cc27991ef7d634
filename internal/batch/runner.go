package batch

import "context"

// Runner executes items. Run blocks until the item is done or has failed, or
// ctx ends; it handles preemption and resumption internally. When ctx ends it
// returns promptly: NotRun if nothing was sent, Unknown if a non-idempotent
// item may have run, and any other kind otherwise. Run must be safe for
// concurrent use.
type Runner interface {
	Run(ctx context.Context, item Item) Outcome
}

// RunnerFunc adapts a function to a Runner.
type RunnerFunc func(ctx context.Context, item Item) Outcome

// Run calls f.
func (f RunnerFunc) Run(ctx context.Context, item Item) Outcome { return f(ctx, item) }
