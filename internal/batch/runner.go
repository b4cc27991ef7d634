package batch

import "context"

// Runner executes items. Run blocks until the item is done, has failed, or ctx
// ends; it handles preemption and resumption by itself. When ctx ends it
// returns soon: NotRun if nothing was sent, Unknown if a non-idempotent item
// may have run, and any other kind otherwise. Run is called from many
// goroutines.
type Runner interface {
	Run(ctx context.Context, item Item) Outcome
}

// RunnerFunc is a function that is a Runner.
type RunnerFunc func(ctx context.Context, item Item) Outcome

// Run implements Runner.
func (f RunnerFunc) Run(ctx context.Context, item Item) Outcome { return f(ctx, item) }
