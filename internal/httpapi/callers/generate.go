package callers

import (
	"context"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
)

// generate serves /v1/chat/completions and /v1/completions.
func (a *API) generate(w http.ResponseWriter, r *http.Request) {
	x := a.open(w, r)
	if x == nil {
		return
	}
	body, refusal := readBody(w, r)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	req, refusal := parseGeneration(r.URL.Path, body)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if x.service = x.snapshot.ServiceByModel(req.model); x.service == nil {
		x.refuse(core.Refuse(core.CodeModelNotFound, "there is no model "+req.model))
		return
	}
	x.admitted(func() {
		if x.options.nonIdempotent && x.options.key != "" {
			x.keyed(intent.DigestOf([]byte(r.Method), []byte(r.URL.Path), body), func(ctx context.Context, gate gate) outcome {
				return x.runGeneration(ctx, req, gate, true)
			})
			return
		}
		x.write(x.runGeneration(r.Context(), req, nil, false))
	})
}

// admitted runs a request within the organisation's limit.
func (x *exchange) admitted(run func()) {
	if !x.api.inFlight.Enter(x.org, x.snapshot.Organisation(x.org).MaxInFlight) {
		refusal := core.Refuse(core.CodeOverloaded, "too many requests of the organisation are in progress")
		refusal.RetryAfter = time.Second
		x.refuse(refusal)
		return
	}
	defer x.api.inFlight.Leave(x.org)
	x.limitWrites()
	run()
}

// runGeneration runs a generation; with keep, its answer can be stored.
func (x *exchange) runGeneration(ctx context.Context, req genRequest, gate gate, keep bool) outcome {
	form := newGenForm(req, x)
	g := relay.Generation{
		ID: x.id, Deployment: x.service.ID, Org: x.org, Class: core.ClassOnline,
		Path: req.path, Body: req.body, NonIdempotent: x.options.nonIdempotent,
		ExpectedTokens: req.expectedTokens, PrefixHash: req.prefixHash,
		Deadline: x.deadline(), Gate: gate,
	}
	if !req.stream {
		result, refusal := x.api.cfg.Relay.Generate(ctx, g, relay.Discard{})
		x.attempts = result.Attempts
		if refusal != nil {
			return outcome{refusal: refusal}
		}
		return outcome{answer: wholeAnswer(form, result)}
	}
	stream := newEventStream(x.w, form, req.includeUsage, keep)
	result, refusal := x.api.cfg.Relay.Generate(ctx, g, stream)
	x.attempts = result.Attempts
	if refusal != nil {
		stream.fail(refusal)
	} else {
		stream.end(result)
	}
	return outcome{answer: stream.answer(), refusal: refusal, written: true}
}

func wholeAnswer(form genForm, result relay.Result) intent.Answer {
	return intent.Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   form.appendWhole(make([]byte, 0, len(result.Text)+512), result),
	}
}

func newGenForm(req genRequest, x *exchange) genForm {
	form := genForm{chat: req.path == pathChat, id: "cmpl-" + x.id, model: req.model, created: x.arrived.Unix()}
	if form.chat {
		form.id = "chat" + form.id
	}
	return form
}
