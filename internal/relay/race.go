package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/dispatch"
)

// race opens an attempt and, if it is slow to begin, a second one beside it.
// The first attempt that begins wins; the other is cancelled.
type race struct {
	run     *run
	ctx     context.Context
	done    chan *attempt // room for both attempts, so that no sender blocks
	pending []*attempt
	first   *attempt
	failed  *attempt // the last one that was sent and failed
}

// start opens the first attempt and returns the winner, or the last failure.
// Attempts that lose or fail are finished; the winner is not.
func (u *run) start(ctx context.Context, slot dispatch.Slot) *attempt {
	r := &race{run: u, ctx: ctx, done: make(chan *attempt, 2)}
	r.first = u.newAttempt(ctx)
	r.first.slot = slot
	r.add(r.first)
	u.watch(r.first)
	go r.first.open(u.work, r.done)
	return r.wait()
}

func (r *race) wait() *attempt {
	hedge := newOptionalTimer(hedgeDelay(r.run.situation(failureNone), r.run.class, r.run.service.HedgeAfter))
	defer hedge.stop()
	stall := newOptionalTimer(r.run.firstStall)
	defer stall.stop()
	for {
		select {
		case a := <-r.done:
			if a := r.arrived(a); a != nil {
				return a
			}
		case <-hedge.c:
			r.hedge()
		case <-stall.c:
			return r.giveUp(failureStalled, errStalled)
		case <-r.ctx.Done():
			return r.giveUp(classify(nil, nil, r.ctx.Err()), r.ctx.Err())
		}
	}
}

// arrived takes an attempt that began or failed, and returns it if it decides
// the race.
func (r *race) arrived(a *attempt) *attempt {
	r.remove(a)
	switch {
	case a.slot == nil:
		r.run.sends--
		a.finish(a.failure, 0)
	case a.failure == failureNone:
		r.cancelPending(errLost, failureCallerGone)
		return a
	default:
		r.failed = a
		r.run.settle(a, a.failure, 0)
	}
	if len(r.pending) > 0 {
		return nil
	}
	return r.failed
}

// hedge opens a second attempt on another replica, if a slot is free there.
func (r *race) hedge() {
	u := r.run
	second := u.newAttempt(r.ctx)
	ask := u.ask(r.ctx)
	ask.NoWait = true
	ask.Exclude = append(ask.Exclude, r.first.slot.Replica())
	r.add(second)
	go r.openHedge(second, ask)
}

// openHedge takes the slot before it spends from the budget: while no slot is
// free, hedges must not use up what retries need.
func (r *race) openHedge(a *attempt, ask dispatch.Request) {
	relay := r.run.relay
	slot, refusal := relay.cfg.Acquirer.Acquire(a.ctx, ask)
	if refusal != nil {
		r.done <- a
		return
	}
	if a.ctx.Err() != nil || !relay.cfg.Budget.Spend(r.run.service.ID) {
		slot.Release(dispatch.Observation{Cancelled: true})
		r.done <- a
		return
	}
	relay.metrics.hedges.Inc(1)
	a.slot = slot
	a.open(r.run.work, r.done)
}

// giveUp cancels all attempts and returns a failure in their place.
func (r *race) giveUp(f failure, err error) *attempt {
	if f == failureStalled {
		r.run.tried = append(r.run.tried, r.first.slot.Replica())
	}
	r.cancelPending(err, f)
	return &attempt{failure: f, err: err}
}

// cancelPending cancels the attempts that have not begun. They report to
// done when the backend server lets go; their slots are released then.
func (r *race) cancelPending(cause error, f failure) {
	if len(r.pending) == 0 {
		return
	}
	r.run.ran = true
	for _, a := range r.pending {
		a.cancel(cause)
	}
	go func(n int) {
		for range n {
			(<-r.done).finish(f, 0)
		}
	}(len(r.pending))
}

func (r *race) add(a *attempt) { r.pending = append(r.pending, a) }

func (r *race) remove(a *attempt) {
	for i, p := range r.pending {
		if p == a {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
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
