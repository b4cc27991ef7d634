package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/callers"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/settings"
)

// itemRunner implements batch.Runner: it sends the items of batch jobs to backend
// servers through the relay.
type itemRunner struct {
	relay    *relay.Relay
	settings func() *settings.Snapshot
}

// checkURL returns the reason why items with a method and URL cannot be run, or ""
// if they can.
func (r *itemRunner) checkURL(method, url string) string {
	if method == http.MethodPost && callers.IsGenerationPath(url) {
		return ""
	}
	if r.settings().DeploymentByRoute(url) != nil {
		return ""
	}
	return "neither a generation path with method POST nor the route of a plain service"
}

// Run implements batch.Runner.
func (r *itemRunner) Run(ctx context.Context, item batch.Item) batch.Outcome {
	if callers.IsGenerationPath(item.URL) {
		return r.generate(ctx, item)
	}
	return r.callPlainService(ctx, item)
}

// generate runs an item that is a generation request.
func (r *itemRunner) generate(ctx context.Context, item batch.Item) batch.Outcome {
	g, model, refusal := callers.ParseItem(item.URL, item.Body)
	if refusal != nil {
		return refusalOutcome(item, refusal)
	}
	deployment := r.settings().DeploymentByModel(model)
	if deployment == nil {
		return refusalOutcome(item, core.Refuse(core.CodeModelNotFound, "no deployment serves model "+model))
	}
	ctx, cancel := context.WithTimeout(ctx, deployment.BatchItemDeadline)
	defer cancel()
	g.ID, g.Deployment, g.Org, g.Class = item.ID, deployment.ID, item.Org, core.ClassBatch
	g.NonIdempotent, g.Due = item.NonIdempotent, item.Due
	result, refusal := r.relay.Generate(ctx, g, relay.Discard{})
	if refusal != nil {
		return refusalOutcome(item, refusal)
	}
	return batch.Outcome{
		Kind: batch.Done, StatusCode: http.StatusOK, RequestID: item.ID,
		Body:         callers.ItemResponse(item.URL, item.ID, model, time.Now().Unix(), result),
		PromptTokens: result.PromptTokens, OutputTokens: result.Tokens,
	}
}

// callPlainService runs an item whose URL is the route of a plain service.
func (r *itemRunner) callPlainService(ctx context.Context, item batch.Item) batch.Outcome {
	deployment := r.settings().DeploymentByRoute(item.URL)
	if deployment == nil {
		return refusalOutcome(item, core.Refuse(core.CodeNotFound, "no plain service has the route "+item.URL))
	}
	ctx, cancel := context.WithTimeout(ctx, deployment.BatchItemDeadline)
	defer cancel()
	result, refusal := r.relay.Call(ctx, relay.PlainCall{
		Deployment: deployment.ID, Org: item.Org, Class: core.ClassBatch,
		Call: backend.Call{Method: item.Method, Path: item.URL, Body: item.Body,
			Header: http.Header{"Content-Type": {"application/json"}}},
		NonIdempotent: item.NonIdempotent, Due: item.Due,
	})
	if refusal != nil {
		return refusalOutcome(item, refusal)
	}
	body := result.Response.Body
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body)) // encoding a string cannot fail
	}
	return batch.Outcome{Kind: batch.Done, StatusCode: result.Response.Status, RequestID: item.ID, Body: body}
}

// refusalOutcome converts a refusal into the outcome of an item. The outcome of a
// non-idempotent item is unknown unless the refusal says that it did not run.
func refusalOutcome(item batch.Item, refusal *core.Refusal) batch.Outcome {
	out := batch.Outcome{Code: refusal.Code, Message: refusal.Message, Execution: refusal.Execution}
	switch refusal.Code {
	case core.CodeInvalidRequest:
		out.Kind = batch.Invalid
	case core.CodeRequestFailed, core.CodeModelNotFound, core.CodeNotFound, core.CodeDeadlineExceeded:
		out.Kind = batch.ItemFailure
	case core.CodeCancelled:
		out.Kind = batch.NotRun
	default:
		out.Kind = batch.BackendFailure
	}
	if item.NonIdempotent && refusal.Execution != core.NotRun {
		out.Kind = batch.Unknown
	}
	return out
}
