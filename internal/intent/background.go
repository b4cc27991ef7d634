package intent

import (
	"context"
	"sync"
	"time"
)

// Bounds of the background work. Each task may hold an answer of 64 KiB, so
// they keep it within 4 MiB.
const (
	maxBackground     = 64
	backgroundTimeout = 2 * time.Minute
	backgroundPause   = 100 * time.Millisecond
	backgroundMaxWait = 5 * time.Second
)

// background repeats tasks until they succeed, within bounds.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	tasks  *sync.WaitGroup
}

func newBackground() background {
	ctx, cancel := context.WithCancel(context.Background())
	return background{ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxBackground), tasks: new(sync.WaitGroup)}
}

// start runs a task until it returns true; it reports false if there are too
// many tasks.
func (b *background) start(task func(context.Context) bool) bool {
	select {
	case b.slots <- struct{}{}:
	default:
		return false
	}
	b.tasks.Go(func() {
		defer func() { <-b.slots }()
		ctx, cancel := context.WithTimeout(b.ctx, backgroundTimeout)
		defer cancel()
		for wait := backgroundPause; pause(ctx, wait); wait = min(2*wait, backgroundMaxWait) {
			if task(ctx) {
				return
			}
		}
	})
	return true
}

func (b *background) close() {
	b.cancel()
	b.tasks.Wait()
}
