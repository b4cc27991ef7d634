package relay

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
)

// Relay sends generations and plain calls to backend servers. It is safe for
// concurrent use.
type Relay struct {
	cfg     Config
	metrics metrics
	queues  batchQueues
}

// New returns a Relay that uses the given dependencies.
func New(cfg Config) *Relay {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Relay{cfg: cfg, metrics: newMetrics(cfg.Scope.SubScope("relay"))}
}

// Generate runs one generation and passes its tokens to the sink. The result is
// also valid with a refusal; it then describes what was delivered before.
func (r *Relay) Generate(ctx context.Context, g Generation, sink Sink) (Result, *core.Refusal) {
	r.metrics.requests.Inc(1)
	deployment := r.cfg.Settings().Deployment(g.Deployment)
	if deployment == nil {
		return Result{Execution: core.NotRun}, r.recordRefusal(core.Refuse(core.CodeModelNotFound, "no such deployment: "+string(g.Deployment)))
	}
	req := &generationRequest{relay: r, generation: g, model: deployment.Model, sink: sink, started: time.Now()}
	e := &executor{
		relay: r, deployment: deployment, request: req, class: g.Class, org: g.Org, due: g.Due, beforeSend: g.BeforeSend,
		idempotent: !g.NonIdempotent, expectedTokens: g.ExpectedTokens, prefixHash: g.PrefixHash,
		slotDeadline: req.slotDeadline(deployment), firstTokenTimeout: firstTokenTimeout(!g.NonIdempotent, g.Class, deployment.FirstToken),
	}
	refusal := e.execute(ctx, g.Deadline)
	return Result{
		Text: string(req.text), Tokens: req.tokens, FinishReason: req.finish.Reason, PromptTokens: req.finish.PromptTokens,
		Attempts: e.sends, Execution: e.execution(), FirstToken: req.firstToken,
	}, refusal
}

// Call makes one call of a plain service. A response of any status is a result, not
// a refusal.
func (r *Relay) Call(ctx context.Context, c PlainCall) (CallResult, *core.Refusal) {
	r.metrics.requests.Inc(1)
	deployment := r.cfg.Settings().Deployment(c.Deployment)
	if deployment == nil {
		return CallResult{Execution: core.NotRun}, r.recordRefusal(core.Refuse(core.CodeNotFound, "no such deployment: "+string(c.Deployment)))
	}
	nonIdempotent := c.NonIdempotent || NonIdempotentRoute(deployment, c.Call.Method, c.Call.Path)
	req := &callRequest{relay: r, call: c.Call}
	e := &executor{
		relay: r, deployment: deployment, request: req, class: c.Class, org: c.Org, due: c.Due, beforeSend: c.BeforeSend,
		idempotent: !nonIdempotent && idempotentMethod(c.Call.Method),
	}
	refusal := e.execute(ctx, c.Deadline)
	var response backend.CallResponse
	if refusal == nil {
		response = req.response
	}
	return CallResult{Response: response, Attempts: e.sends, Execution: e.execution()}, refusal
}

func (r *Relay) recordRefusal(refusal *core.Refusal) *core.Refusal {
	r.metrics.countRefusal(refusal.Code)
	return refusal
}
