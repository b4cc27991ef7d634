package worker

import (
	"context"

	"github.com/pkg/errors"
)

// Stop gives all ranges up. It starts no more items and lets the running ones
// finish until ctx ends; then it interrupts them. Unstarted items are released
// at once, the rest when it is finished or interrupted, so that other nodes
// can claim them without waiting for the lease.
func (w *Worker) Stop(ctx context.Context) error {
	w.mu.Lock()
	w.stopping = true
	w.sources = nil
	w.signal()
	w.mu.Unlock()
	released := func() bool { return len(w.ranges)+w.claiming+w.running == 0 }
	ok := w.await(ctx, released)
	w.cancelItems()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.p.Config.ReleaseTimeout)
	defer cancel()
	if !ok {
		ok = w.await(ctx, released)
	}
	w.cancel()
	var err error
	if w.await(ctx, func() bool { return w.running == 0 }) {
		err = w.p.Keeper.Close(ctx)
	}
	// If items still run, the lease is left to lapse, so that nobody takes over
	// before.
	w.p.Keeper.Abandon()
	w.wg.Wait()
	if !ok {
		return errors.New("batch: not all ranges were released; they are taken over after the lease")
	}
	return errors.Wrap(err, "batch: close the lease")
}

// Kill ends all activity at once and releases nothing.
func (w *Worker) Kill() {
	w.cancelItems()
	w.cancel()
	w.p.Keeper.Abandon()
	w.wg.Wait()
}
