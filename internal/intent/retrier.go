package intent

import (
	"context"
	"sync"
	"time"
)

// Limits of background retries. Each task may hold a response of 64 KiB, so the
// number of tasks limits the memory to 4 MiB.
const (
	maxBackgroundTasks = 64
	backgroundTimeout  = 2 * time.Minute
	backgroundDelayMin = 100 * time.Millisecond
	backgroundDelayMax = 5 * time.Second
)

// retrier retries tasks in the background with an exponential delay. The number of
// tasks and the duration of each are limited.
type retrier struct {
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	tasks  *sync.WaitGroup
}

func newRetrier() retrier {
	ctx, cancel := context.WithCancel(context.Background())
	return retrier{ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxBackgroundTasks), tasks: new(sync.WaitGroup)}
}

// start runs a task in the background, again and again until it returns true or
// backgroundTimeout has passed. It returns false, and does not run the task, if
// maxBackgroundTasks are already running.
func (r *retrier) start(task func(context.Context) bool) bool {
	select {
	case r.slots <- struct{}{}:
	default:
		return false
	}
	r.tasks.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(r.ctx, backgroundTimeout)
		defer cancel()
		for delay := backgroundDelayMin; sleep(ctx, delay); delay = min(2*delay, backgroundDelayMax) {
			if task(ctx) {
				return
			}
		}
	})
	return true
}

// close cancels all tasks and waits for them.
func (r *retrier) close() {
	r.cancel()
	r.tasks.Wait()
}
