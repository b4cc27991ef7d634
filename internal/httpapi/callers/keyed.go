package callers

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/intent"
)

// keyed runs a non-idempotent call with a key: at most once, whichever node
// its resends reach. The call does not end with its caller's connection, so
// that the answer is there for a resend.
func (x *exchange) keyed(digest intent.Digest, run func(context.Context, gate) outcome) {
	intents := x.api.cfg.Intents
	decision, refusal := intents.Begin(x.r.Context(), x.org, x.options.key, digest)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if decision.Outcome != intent.Started {
		x.repeated(decision)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.deadline())
	defer cancel()
	o := run(ctx, decision.Attempt.Gate)
	var err error
	switch {
	case o.refusal == nil:
		err = intents.Finish(ctx, decision.Attempt, o.answer)
	case o.refusal.Execution == core.NotRun:
		err = intents.Abandon(ctx, decision.Attempt)
	}
	if err != nil {
		x.api.cfg.Logger.Warn("the end of a non-idempotent call is not recorded yet",
			"request", x.id, "org", x.org, "deployment", x.service.ID, "error", err)
	}
	x.write(o)
}

// repeated answers a call whose key is known.
func (x *exchange) repeated(decision intent.Decision) {
	switch decision.Outcome {
	case intent.Replay:
		x.w.Header().Set(headerReplayed, "true")
		x.writeAnswer(decision.Answer)
	case intent.KeyReused:
		x.refuse(core.Refuse(core.CodeKeyReused, "the "+headerKey+" belongs to another request"))
	case intent.NotKept:
		x.refuse(core.Fail(core.CodeOutcomeUnknown, "the call ran and its answer was too large to be kept; it is not sent again"))
	default:
		x.refuse(core.Fail(core.CodeOutcomeUnknown, "the call was sent before and its outcome is unknown; it is not sent again"))
	}
}
