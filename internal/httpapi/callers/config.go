package callers

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/settings"
)

// Relay runs generations and plain calls; *relay.Relay implements it.
type Relay interface {
	Generate(ctx context.Context, g relay.Generation, sink relay.Sink) (relay.Result, *core.Refusal)
	Call(ctx context.Context, c relay.PlainCall) (relay.CallResult, *core.Refusal)
}

// Intents keeps the records of non-idempotent calls; *intent.Store implements
// it.
type Intents interface {
	Begin(ctx context.Context, org core.Org, key string, digest intent.Digest) (intent.Decision, *core.Refusal)
	Finish(ctx context.Context, a *intent.Attempt, answer intent.Answer) error
	Abandon(ctx context.Context, a *intent.Attempt) error
}

// Config is what the API works with.
type Config struct {
	Relay    Relay
	Intents  Intents
	Settings func() *settings.Snapshot
	// Ready returns why the node should get no requests from the balancer, or
	// nil.
	Ready func() *core.Refusal
	// NewID returns an id that is unique in the fleet and over restarts.
	NewID  func() string
	Scope  tally.Scope  // nil: no metrics
	Logger *slog.Logger // nil: no log
}
