package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/settings"
)

// run is one piece of work on its way. It is used by one goroutine.
type run struct {
	relay   *Relay
	service *settings.Deployment
	work    work

	class          core.Class
	org            core.Org
	due            time.Time
	gate           func() *core.Refusal
	idempotent     bool
	expectedTokens int
	prefixHash     uint64
	startBy        time.Time // zero: the deadline
	// firstStall bounds the time to the beginning of an answer; 0 for plain
	// calls, whose usual time is not known.
	firstStall time.Duration

	sends int
	free  int  // sends that were preempted, which cost no attempt
	ran   bool // a backend server can have run the work
	tried []core.ReplicaID
}

// execute runs the work to its end.
func (u *run) execute(ctx context.Context, deadline time.Time) *core.Refusal {
	if u.class == core.ClassOnline {
		if deadline.IsZero() && u.service.OnlineDeadline > 0 {
			deadline = time.Now().Add(u.service.OnlineDeadline)
		}
		if !deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, deadline)
			defer cancel()
		}
	}
	if refusal := u.loop(ctx); refusal != nil {
		return u.relay.refuse(refusal)
	}
	u.relay.cfg.Budget.RecordSuccess(u.service.ID, u.service.RetryBudget)
	return nil
}

func (u *run) loop(ctx context.Context) *core.Refusal {
	for {
		slot, refusal := u.acquire(ctx)
		if refusal != nil {
			return u.withoutSlot(ctx, refusal)
		}
		if refusal := u.mayStart(ctx); refusal != nil {
			slot.Release(dispatch.Observation{Cancelled: true})
			return u.withoutSlot(ctx, refusal)
		}
		f, err := u.try(ctx, slot)
		if f == failureNone {
			return nil
		}
		next := decide(u.situation(f))
		if next == verdictStop || next != verdictReacquire && !u.relay.cfg.Budget.Spend(u.service.ID) {
			return u.failed(f, err)
		}
		if next == verdictReacquire {
			u.free++
		}
		u.relay.metrics.again(next)
	}
}

// mayStart makes the last checks before a send.
func (u *run) mayStart(ctx context.Context) *core.Refusal {
	if ctx.Err() != nil {
		return core.Refuse(core.CodeCancelled, "cancelled before sending")
	}
	if u.gate != nil {
		return u.gate()
	}
	return nil
}

// try makes one attempt, possibly hedged, and returns how it ended.
func (u *run) try(ctx context.Context, slot dispatch.Slot) (failure, error) {
	a := u.start(ctx, slot)
	if a.failure != failureNone {
		return a.failure, a.err
	}
	before := u.work.delivered()
	f, err := u.work.consume(a)
	u.settle(a, f, u.work.delivered()-before)
	return f, err
}

func (u *run) newAttempt(ctx context.Context) *attempt {
	u.sends++
	a := &attempt{number: u.sends, stallable: u.idempotent, work: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	u.work.prepare(a)
	return a
}

// watch lets the owner take the slot of batch work back. Non-idempotent work
// keeps its slot: cancelled, it could neither run again nor be known to have
// run.
func (u *run) watch(a *attempt) {
	if u.class == core.ClassBatch && u.idempotent {
		go a.watchPreempted()
	}
}

// settle finishes an attempt and remembers what it means for the next one.
func (u *run) settle(a *attempt, f failure, tokens int) {
	u.ran = u.ran || a.mayHaveRun()
	if a.slot != nil && f.backendFault() {
		u.tried = append(u.tried, a.slot.Replica())
	}
	a.finish(f, tokens)
}

func (u *run) situation(f failure) situation {
	return situation{
		failure: f, idempotent: u.idempotent, mayHaveRun: u.ran, delivered: u.work.delivered(),
		attempts: u.sends - u.free, maxAttempts: u.service.MaxAttempts,
	}
}

func (u *run) execution() core.Execution {
	if u.ran {
		return core.ExecutionUnknown
	}
	return core.NotRun
}
