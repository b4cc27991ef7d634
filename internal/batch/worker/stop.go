package worker

import (
	"context"

	"github.com/pkg/errors"
)

// Stop releases all ranges. It starts no more items and waits for the running ones
// until ctx ends; then it interrupts them. Unstarted items are released at once,
// the others after they finish or are interrupted, so that other nodes can claim
// them without waiting for the lease to expire.
func (w *Worker) Stop(ctx context.Context) error {
	w.mu.Lock()
	w.stopping = true
	w.coordinators = nil
	w.wakeLoop()
	w.mu.Unlock()
	released := func() bool { return len(w.ranges)+w.pendingClaims+w.running == 0 }
	ok := w.waitFor(ctx, released)
	w.cancelItems()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.p.Config.ReleaseTimeout)
	defer cancel()
	if !ok {
		ok = w.waitFor(ctx, released)
	}
	w.cancel()
	var err error
	if w.waitFor(ctx, func() bool { return w.running == 0 }) {
		err = w.p.Leases.Close(ctx)
	}
	// If items are still running, the lease is left to expire, so that no other node
	// takes the ranges over earlier.
	w.p.Leases.Abandon()
	w.wg.Wait()
	if !ok {
		return errors.New("batch: not all ranges were released; other nodes take them over when the lease has expired")
	}
	return errors.Wrap(err, "batch: close the lease")
}

// Kill stops all activity at once without releasing any range.
func (w *Worker) Kill() {
	w.cancelItems()
	w.cancel()
	w.p.Leases.Abandon()
	w.wg.Wait()
}
