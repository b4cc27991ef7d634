package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// slotRequest returns the request for a slot that is passed to the dispatcher.
func (e *executor) slotRequest(ctx context.Context) dispatch.Request {
	deadline, _ := ctx.Deadline()
	if e.sends == 0 && !e.slotDeadline.IsZero() && (deadline.IsZero() || e.slotDeadline.Before(deadline)) {
		deadline = e.slotDeadline
	}
	if batchDeadline := time.Now().Add(batchReplicaWait); e.class == core.ClassBatch && (deadline.IsZero() || batchDeadline.Before(deadline)) {
		deadline = batchDeadline
	}
	finish, _ := ctx.Deadline()
	if e.class == core.ClassBatch {
		finish = time.Time{} // the time limit of a batch item is generous and not guaranteed
	}
	return dispatch.Request{
		Finish:         finish,
		Deployment:     e.deployment.ID,
		Class:          e.class,
		Org:            e.org,
		ExpectedTokens: e.expectedTokens,
		PrefixHash:     e.prefixHash,
		Deadline:       deadline,
		Due:            e.due,
		Exclude:        append([]core.ReplicaID(nil), e.failedReplicas...),
	}
}

// acquire acquires a slot. A batch request waits for one until ctx is done.
func (e *executor) acquire(ctx context.Context) (dispatch.Slot, *core.Refusal) {
	if e.class == core.ClassBatch {
		return e.relay.queues.acquire(ctx, e.deployment.ID, func() (dispatch.Slot, *core.Refusal) {
			slot, refusal := e.acquireOnce(ctx)
			if refusal == nil && isPreempted(slot) {
				slot.Release(dispatch.Observation{Cancelled: true})
				return nil, core.Refuse(core.CodeOverloaded, "the slot was preempted before it was used")
			}
			return slot, refusal
		})
	}
	return e.acquireOnce(ctx)
}

// isPreempted reports whether the owner has preempted the slot.
func isPreempted(slot dispatch.Slot) bool {
	select {
	case <-slot.Preempted():
		return true
	default:
		return false
	}
}

// acquireOnce asks for a slot on a replica that has not failed this request. If
// there is no such replica, it asks for a slot on any: in a small deployment the
// failed replica may be the only one, and it may have recovered.
func (e *executor) acquireOnce(ctx context.Context) (dispatch.Slot, *core.Refusal) {
	slot, refusal := e.relay.cfg.Acquirer.Acquire(ctx, e.slotRequest(ctx))
	if refusal == nil || refusal.Code != core.CodeNoBackend || len(e.failedReplicas) == 0 {
		return slot, refusal
	}
	e.failedReplicas = e.failedReplicas[:0]
	return e.relay.cfg.Acquirer.Acquire(ctx, e.slotRequest(ctx))
}
