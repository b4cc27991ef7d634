package callers

import (
	"context"
	"net/http"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/httpapi/httpserver"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
)

// plain serves calls of plain services, which it selects by route.
func (a *API) plain(w http.ResponseWriter, r *http.Request) {
	x := a.newExchange(w, r)
	if x == nil {
		return
	}
	if x.deployment = x.snapshot.DeploymentByRoute(r.URL.Path); x.deployment == nil {
		x.refuse(core.Refuse(core.CodeNotFound, "there is no service at "+r.URL.Path))
		return
	}
	body, refusal := httpserver.ReadBody(w, r, maxBodyBytes)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	call := backend.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: x.forwardedHeaders(), Body: body}
	isNonIdempotent := x.options.nonIdempotent || relay.NonIdempotentRoute(x.deployment, r.Method, r.URL.Path)
	x.withInFlightLimit(func() {
		if isNonIdempotent && x.options.idempotencyKey != "" {
			x.runAtMostOnce(intent.DigestOf([]byte(r.Method), []byte(call.Path), body), func(ctx context.Context, gate gate) outcome {
				return x.runCall(ctx, call, isNonIdempotent, gate)
			})
			return
		}
		x.write(x.runCall(r.Context(), call, isNonIdempotent, nil))
	})
}

func (x *exchange) runCall(ctx context.Context, call backend.Call, isNonIdempotent bool, gate gate) outcome {
	result, refusal := x.api.cfg.Relay.Call(ctx, relay.PlainCall{
		Deployment: x.deployment.ID, Org: x.org, Class: core.ClassOnline, Call: call,
		NonIdempotent: isNonIdempotent, Deadline: x.deadline(), BeforeSend: gate,
	})
	x.attempts = result.Attempts
	if refusal != nil {
		return outcome{refusal: refusal}
	}
	return outcome{response: intent.Response{
		Status: result.Response.Status, Header: endToEndHeaders(result.Response.Header), Body: result.Response.Body,
	}}
}

// forwardedHeaders returns the headers of the call to the service: those of the
// caller without the API key and with the authenticated organisation.
func (x *exchange) forwardedHeaders() http.Header {
	header := endToEndHeaders(x.r.Header)
	header.Del("Authorization")
	header.Set(httpapi.OrganisationHeader, string(x.org))
	return header
}
