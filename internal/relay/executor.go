package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/settings"
)

// executor executes one request: it acquires slots, makes attempts, and retries or
// resumes the request after failures. It is used by one goroutine only.
type executor struct {
	relay      *Relay
	deployment *settings.Deployment
	request    request

	class          core.Class
	org            core.Org
	due            time.Time
	beforeSend     func() *core.Refusal
	idempotent     bool
	expectedTokens int
	prefixHash     uint64
	slotDeadline   time.Time // for the first attempt; zero: no limit but the deadline
	// firstTokenTimeout limits the time to the first token of an attempt. It is 0
	// (no limit) for plain calls, because their usual duration is unknown, and for
	// non-idempotent generations.
	firstTokenTimeout time.Duration

	sends          int
	preemptions    int  // preempted sends, which do not count as attempts
	maybeRan       bool // a backend server may have run the request
	failedReplicas []core.ReplicaID
}

// execute makes attempts until the request completes or fails, and records the
// outcome in the metrics and the retry budget.
func (e *executor) execute(ctx context.Context, deadline time.Time) *core.Refusal {
	if e.class == core.ClassOnline {
		if deadline.IsZero() && e.deployment.OnlineDeadline > 0 {
			deadline = time.Now().Add(e.deployment.OnlineDeadline)
		}
		if !deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, deadline)
			defer cancel()
		}
	}
	if refusal := e.runAttempts(ctx); refusal != nil {
		return e.relay.recordRefusal(refusal)
	}
	e.relay.cfg.Budget.RecordSuccess(e.deployment.ID, e.deployment.RetryBudget)
	return nil
}

func (e *executor) runAttempts(ctx context.Context) *core.Refusal {
	for {
		slot, refusal := e.acquire(ctx)
		if refusal != nil {
			return e.slotRefusal(ctx, refusal)
		}
		if refusal := e.checkBeforeSend(ctx); refusal != nil {
			slot.Release(dispatch.Observation{Cancelled: true})
			return e.slotRefusal(ctx, refusal)
		}
		f, err := e.runAttempt(ctx, slot)
		if f == failureNone {
			return nil
		}
		action := nextAction(e.retryState(f))
		if action == actionStop || action != actionReacquire && !e.relay.cfg.Budget.Spend(e.deployment.ID) {
			return e.failureRefusal(f, err)
		}
		if action == actionReacquire {
			e.preemptions++
		}
		e.relay.metrics.countRetry(action)
	}
}

// checkBeforeSend returns a refusal if the request must no longer be sent.
func (e *executor) checkBeforeSend(ctx context.Context) *core.Refusal {
	if ctx.Err() != nil {
		return core.Refuse(core.CodeCancelled, "cancelled before sending")
	}
	if e.beforeSend != nil {
		return e.beforeSend()
	}
	return nil
}

// runAttempt makes one attempt, possibly hedged, and returns why it failed, or
// failureNone.
func (e *executor) runAttempt(ctx context.Context, slot dispatch.Slot) (failure, error) {
	a := e.sendHedged(ctx, slot)
	if a.failure != failureNone {
		return a.failure, a.err
	}
	before := e.request.delivered()
	f, err := e.request.consume(a)
	e.finishAttempt(a, f, e.request.delivered()-before)
	return f, err
}

func (e *executor) newAttempt(ctx context.Context) *attempt {
	e.sends++
	a := &attempt{number: e.sends, retryAfterStall: e.idempotent, requestCtx: ctx}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	e.request.prepare(a)
	return a
}

// watchPreemption makes the attempt of a batch request end when its slot is
// preempted. A non-idempotent request keeps its slot: if it were cancelled, it
// could not be sent again and its outcome would stay unknown.
func (e *executor) watchPreemption(a *attempt) {
	if e.class == core.ClassBatch && e.idempotent {
		go a.cancelOnPreemption()
	}
}

// finishAttempt finishes an attempt and records whether it may have run and whether
// its replica failed.
func (e *executor) finishAttempt(a *attempt, f failure, tokens int) {
	e.maybeRan = e.maybeRan || a.mayHaveRun()
	if a.slot != nil && f.isBackendFault() {
		e.failedReplicas = append(e.failedReplicas, a.slot.Replica())
	}
	a.finish(f, tokens)
}

func (e *executor) retryState(f failure) retryState {
	return retryState{
		failure: f, idempotent: e.idempotent, mayHaveRun: e.maybeRan, delivered: e.request.delivered(),
		attempts: e.sends - e.preemptions, maxAttempts: e.deployment.MaxAttempts,
	}
}

// execution returns whether the request may have run.
func (e *executor) execution() core.Execution {
	if e.maybeRan {
		return core.ExecutionUnknown
	}
	return core.NotRun
}
