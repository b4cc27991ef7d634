package callers

import (
	"context"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/httpserver"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
)

// generate serves /v1/chat/completions and /v1/completions.
func (a *API) generate(w http.ResponseWriter, r *http.Request) {
	x := a.newExchange(w, r)
	if x == nil {
		return
	}
	body, refusal := httpserver.ReadBody(w, r, maxBodyBytes)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	req, refusal := parseGeneration(r.URL.Path, body)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	if x.deployment = x.snapshot.DeploymentByModel(req.model); x.deployment == nil {
		x.refuse(core.Refuse(core.CodeModelNotFound, "there is no model "+req.model))
		return
	}
	x.withInFlightLimit(func() {
		if x.options.nonIdempotent && x.options.idempotencyKey != "" {
			x.runAtMostOnce(intent.DigestOf([]byte(r.Method), []byte(r.URL.Path), body), func(ctx context.Context, gate gate) outcome {
				return x.runGeneration(ctx, req, gate, true)
			})
			return
		}
		x.write(x.runGeneration(r.Context(), req, nil, false))
	})
}

// withInFlightLimit calls run unless the organisation's limit of requests in
// progress is reached, in which case it refuses the request.
func (x *exchange) withInFlightLimit(run func()) {
	if !x.api.inFlight.Acquire(x.org, x.snapshot.Organisation(x.org).MaxInFlight) {
		refusal := core.Refuse(core.CodeOverloaded, "the organisation has too many requests in progress")
		refusal.RetryAfter = time.Second
		x.refuse(refusal)
		return
	}
	defer x.api.inFlight.Release(x.org)
	x.setWriteDeadline()
	run()
}

// runGeneration runs a generation. With record, the events of a streamed response
// are recorded, so that it can be stored.
func (x *exchange) runGeneration(ctx context.Context, req genRequest, gate gate, record bool) outcome {
	encoder := newResponseEncoder(req, x)
	g := relay.Generation{
		ID: x.id, Deployment: x.deployment.ID, Org: x.org, Class: core.ClassOnline,
		Path: req.path, Body: req.body, NonIdempotent: x.options.nonIdempotent,
		ExpectedTokens: req.expectedTokens, PrefixHash: req.prefixHash,
		Deadline: x.deadline(), BeforeSend: gate,
	}
	if !req.stream {
		result, refusal := x.api.cfg.Relay.Generate(ctx, g, relay.Discard{})
		x.attempts = result.Attempts
		if refusal != nil {
			return outcome{refusal: refusal}
		}
		return outcome{response: completeResponse(encoder, result)}
	}
	stream := newEventStream(x.w, encoder, req.includeUsage, record)
	result, refusal := x.api.cfg.Relay.Generate(ctx, g, stream)
	x.attempts = result.Attempts
	if refusal != nil {
		stream.fail(refusal)
	} else {
		stream.finish(result)
	}
	return outcome{response: stream.response(), refusal: refusal, written: true}
}

func completeResponse(encoder responseEncoder, result relay.Result) intent.Response {
	return intent.Response{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   encoder.appendComplete(make([]byte, 0, len(result.Text)+512), result),
	}
}

func newResponseEncoder(req genRequest, x *exchange) responseEncoder {
	encoder := responseEncoder{chat: req.path == pathChat, id: "cmpl-" + x.id, model: req.model, created: x.arrived.Unix()}
	if encoder.chat {
		encoder.id = "chat" + encoder.id
	}
	return encoder
}
