package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/dispatch"
)

// hedgedSend sends an attempt and, if its first token is late, a second attempt (the
// hedge) to another replica. The attempt that responds first wins; the other is
// cancelled.
type hedgedSend struct {
	executor   *executor
	ctx        context.Context
	done       chan *attempt // has space for both attempts, so that no sender blocks
	pending    []*attempt
	first      *attempt
	lastFailed *attempt // the last attempt that was sent and failed
}

// sendHedged sends the first attempt in the slot, hedges it if necessary, and
// returns the attempt that responded first or, if none did, the one that failed
// last. The caller must finish the returned attempt if it did not fail; all
// others are finished by hedgedSend.
func (e *executor) sendHedged(ctx context.Context, slot dispatch.Slot) *attempt {
	h := &hedgedSend{executor: e, ctx: ctx, done: make(chan *attempt, 2)}
	h.first = e.newAttempt(ctx)
	h.first.slot = slot
	h.add(h.first)
	e.watchPreemption(h.first)
	go h.first.sendAndReport(e.request, h.done)
	return h.wait()
}

func (h *hedgedSend) wait() *attempt {
	hedge := newOptionalTimer(hedgeDelay(h.executor.retryState(failureNone), h.executor.class, h.executor.deployment.HedgeAfter))
	defer hedge.stop()
	firstTokenTimer := newOptionalTimer(h.executor.firstTokenTimeout)
	defer firstTokenTimer.stop()
	for {
		select {
		case a := <-h.done:
			if a := h.handleResult(a); a != nil {
				return a
			}
		case <-hedge.c:
			h.hedge()
		case <-firstTokenTimer.c:
			return h.abort(failureStalled, errStalled)
		case <-h.ctx.Done():
			return h.abort(classify(nil, nil, h.ctx.Err()), h.ctx.Err())
		}
	}
}

// handleResult processes an attempt that responded or failed. It returns the
// attempt to return from wait, or nil if another attempt is still pending.
func (h *hedgedSend) handleResult(a *attempt) *attempt {
	h.remove(a)
	switch {
	case a.slot == nil:
		h.executor.sends--
		a.finish(a.failure, 0)
	case a.failure == failureNone:
		h.cancelPending(errOtherAttemptWon, failureCallerGone)
		return a
	default:
		h.lastFailed = a
		h.executor.finishAttempt(a, a.failure, 0)
	}
	if len(h.pending) > 0 {
		return nil
	}
	return h.lastFailed
}

// hedge sends a second attempt to another replica if a slot is free there.
func (h *hedgedSend) hedge() {
	e := h.executor
	second := e.newAttempt(h.ctx)
	slotRequest := e.slotRequest(h.ctx)
	slotRequest.NoWait = true
	slotRequest.Exclude = append(slotRequest.Exclude, h.first.slot.Replica())
	h.add(second)
	go h.sendHedge(second, slotRequest)
}

// sendHedge acquires a slot before it takes from the retry budget. Otherwise hedges
// that get no slot would use up the budget of retries.
func (h *hedgedSend) sendHedge(a *attempt, slotRequest dispatch.Request) {
	relay := h.executor.relay
	slot, refusal := relay.cfg.Acquirer.Acquire(a.ctx, slotRequest)
	if refusal != nil {
		h.done <- a
		return
	}
	if a.ctx.Err() != nil || !relay.cfg.Budget.Spend(h.executor.deployment.ID) {
		slot.Release(dispatch.Observation{Cancelled: true})
		h.done <- a
		return
	}
	relay.metrics.hedges.Inc(1)
	a.slot = slot
	a.sendAndReport(h.executor.request, h.done)
}

// abort cancels all pending attempts and returns a failed attempt in their place.
func (h *hedgedSend) abort(f failure, err error) *attempt {
	if f == failureStalled {
		h.executor.failedReplicas = append(h.executor.failedReplicas, h.first.slot.Replica())
	}
	h.cancelPending(err, f)
	return &attempt{failure: f, err: err}
}

// cancelPending cancels the attempts that have not responded. Their slots are
// released once their sends return.
func (h *hedgedSend) cancelPending(cause error, f failure) {
	if len(h.pending) == 0 {
		return
	}
	h.executor.maybeRan = true
	for _, a := range h.pending {
		a.cancel(cause)
	}
	go func(n int) {
		for range n {
			(<-h.done).finish(f, 0)
		}
	}(len(h.pending))
}

func (h *hedgedSend) add(a *attempt) { h.pending = append(h.pending, a) }

func (h *hedgedSend) remove(a *attempt) {
	for i, other := range h.pending {
		if other == a {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}

// optionalTimer is a timer that never fires if its duration is 0.
type optionalTimer struct {
	timer *time.Timer
	c     <-chan time.Time
}

func newOptionalTimer(d time.Duration) optionalTimer {
	if d <= 0 {
		return optionalTimer{}
	}
	timer := time.NewTimer(d)
	return optionalTimer{timer: timer, c: timer.C}
}

func (t optionalTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
