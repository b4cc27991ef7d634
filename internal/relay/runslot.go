package relay

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// ask describes the work to the dispatcher.
func (u *run) ask(ctx context.Context) dispatch.Request {
	deadline, _ := ctx.Deadline()
	if u.sends == 0 && !u.startBy.IsZero() && (deadline.IsZero() || u.startBy.Before(deadline)) {
		deadline = u.startBy
	}
	if replace := time.Now().Add(batchWait); u.class == core.ClassBatch && (deadline.IsZero() || replace.Before(deadline)) {
		deadline = replace
	}
	finish, _ := ctx.Deadline()
	if u.class == core.ClassBatch {
		finish = time.Time{} // the bound of a batch item is generous and no promise
	}
	return dispatch.Request{
		Finish:         finish,
		Deployment:     u.service.ID,
		Class:          u.class,
		Org:            u.org,
		ExpectedTokens: u.expectedTokens,
		PrefixHash:     u.prefixHash,
		Deadline:       deadline,
		Due:            u.due,
		Exclude:        append([]core.ReplicaID(nil), u.tried...),
	}
}

// acquire takes a slot. Batch work waits for one as long as its context lasts.
func (u *run) acquire(ctx context.Context) (dispatch.Slot, *core.Refusal) {
	if u.class == core.ClassBatch {
		return u.relay.queue.acquire(ctx, u.service.ID, func() (dispatch.Slot, *core.Refusal) {
			slot, refusal := u.acquireOnce(ctx)
			if refusal == nil && wantedBack(slot) {
				slot.Release(dispatch.Observation{Cancelled: true})
				return nil, core.Refuse(core.CodeOverloaded, "the slot was taken back before it was used")
			}
			return slot, refusal
		})
	}
	return u.acquireOnce(ctx)
}

// wantedBack reports whether the owner has taken the slot back.
func wantedBack(slot dispatch.Slot) bool {
	select {
	case <-slot.Preempted():
		return true
	default:
		return false
	}
}

// acquireOnce asks for a slot on a replica that has not failed this work, or,
// if there is none, on any: in a small deployment the failed replica may be
// the only one, and it may be back.
func (u *run) acquireOnce(ctx context.Context) (dispatch.Slot, *core.Refusal) {
	slot, refusal := u.relay.cfg.Acquirer.Acquire(ctx, u.ask(ctx))
	if refusal == nil || refusal.Code != core.CodeNoBackend || len(u.tried) == 0 {
		return slot, refusal
	}
	u.tried = u.tried[:0]
	return u.relay.cfg.Acquirer.Acquire(ctx, u.ask(ctx))
}
