package callers

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/intent"
)

// runAtMostOnce runs a non-idempotent call with an idempotency key at most once,
// whichever nodes receive its retries. The call continues if its caller
// disconnects, so that a retry finds the response.
func (x *exchange) runAtMostOnce(digest intent.Digest, run func(context.Context, gate) outcome) {
	intents := x.api.cfg.Intents
	decision, refusal := intents.Begin(x.r.Context(), x.org, x.options.idempotencyKey, digest)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if decision.Outcome != intent.Started {
		x.respondDuplicate(decision)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline())
	defer cancel()
	o := run(ctx, decision.Attempt.CheckAge)
	var err error
	switch {
	case o.refusal == nil:
		err = intents.Finish(ctx, decision.Attempt, o.response)
	case o.refusal.Execution == core.NotRun:
		err = intents.Abandon(ctx, decision.Attempt)
	}
	if err != nil {
		x.api.cfg.Logger.Warn("outcome of a non-idempotent call is not recorded yet",
			"request", x.id, "org", x.org, "deployment", x.deployment.ID, "error", err)
	}
	x.write(o)
}

// respondDuplicate responds to a call whose idempotency key was used before.
func (x *exchange) respondDuplicate(decision intent.Decision) {
	switch decision.Outcome {
	case intent.Replay:
		x.w.Header().Set(headerReplayed, "true")
		x.writeResponse(decision.Response)
	case intent.KeyReused:
		x.refuse(core.Refuse(core.CodeKeyReused, "the "+headerIdempotencyKey+" was already used for another request"))
	case intent.ResponseTooLarge:
		x.refuse(core.Fail(core.CodeOutcomeUnknown, "the call ran and its response was too large to be stored; it is not sent again"))
	default:
		x.refuse(core.Fail(core.CodeOutcomeUnknown, "the call was already sent and its outcome is unknown; it is not sent again"))
	}
}
