package relay

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
)

// Relay runs generations and plain calls. It is safe for concurrent use.
type Relay struct {
	cfg     Config
	metrics metrics
	queue   batchQueue
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Relay{cfg: cfg, metrics: newMetrics(cfg.Scope.SubScope("relay"))}
}

// Generate runs one generation and gives its tokens to the sink. The result
// is valid also with a refusal: it says what was delivered before.
func (r *Relay) Generate(ctx context.Context, g Generation, sink Sink) (Result, *core.Refusal) {
	r.metrics.requests.Inc(1)
	service := r.cfg.Settings().Deployment(g.Deployment)
	if service == nil {
		return Result{Execution: core.NotRun}, r.refuse(core.Refuse(core.CodeModelNotFound, "no such deployment: "+string(g.Deployment)))
	}
	w := &generationWork{relay: r, generation: g, model: service.Model, sink: sink, started: time.Now()}
	u := &run{
		relay: r, service: service, work: w, class: g.Class, org: g.Org, due: g.Due, gate: g.BeforeSend,
		idempotent: !g.NonIdempotent, expectedTokens: g.ExpectedTokens, prefixHash: g.PrefixHash,
		startBy: w.startBy(service), firstStall: firstStall(!g.NonIdempotent, g.Class, service.FirstToken),
	}
	refusal := u.execute(ctx, g.Deadline)
	return Result{
		Text: string(w.text), Tokens: w.tokens, FinishReason: w.finish.Reason, PromptTokens: w.finish.PromptTokens,
		Attempts: u.sends, Execution: u.execution(), FirstToken: w.firstToken,
	}, refusal
}

// Call runs one call of a plain service. An answer of any status is a result,
// not a refusal.
func (r *Relay) Call(ctx context.Context, c PlainCall) (CallResult, *core.Refusal) {
	r.metrics.requests.Inc(1)
	service := r.cfg.Settings().Deployment(c.Deployment)
	if service == nil {
		return CallResult{Execution: core.NotRun}, r.refuse(core.Refuse(core.CodeNotFound, "no such deployment: "+string(c.Deployment)))
	}
	marked := c.NonIdempotent || NonIdempotentRoute(service, c.Call.Method, c.Call.Path)
	w := &callWork{relay: r, call: c.Call}
	u := &run{
		relay: r, service: service, work: w, class: c.Class, org: c.Org, due: c.Due, gate: c.BeforeSend,
		idempotent: !marked && idempotentMethod(c.Call.Method),
	}
	refusal := u.execute(ctx, c.Deadline)
	var answer backend.CallResponse
	if refusal == nil {
		answer = w.answer
	}
	return CallResult{Response: answer, Attempts: u.sends, Execution: u.execution()}, refusal
}

func (r *Relay) refuse(refusal *core.Refusal) *core.Refusal {
	r.metrics.refused(refusal.Code)
	return refusal
}
