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

// Relay runs generations and calls of plain services. *relay.Relay implements it.
type Relay interface {
	Generate(ctx context.Context, g relay.Generation, sink relay.Sink) (relay.Result, *core.Refusal)
	Call(ctx context.Context, c relay.PlainCall) (relay.CallResult, *core.Refusal)
}

// Intents stores the records of non-idempotent calls. *intent.Store implements
// it.
type Intents interface {
	Begin(ctx context.Context, org core.Org, key string, digest intent.Digest) (intent.Decision, *core.Refusal)
	Finish(ctx context.Context, a *intent.Attempt, response intent.Response) error
	Abandon(ctx context.Context, a *intent.Attempt) error
}

// Config holds the dependencies of an API.
type Config struct {
	Relay    Relay
	Intents  Intents
	Settings func() *settings.Snapshot
	// Ready returns nil if the load balancer should send requests to the node, else
	// the reason why not.
	Ready func() *core.Refusal
	// NewID returns an ID that is unique in the fleet and across restarts.
	NewID  func() string
	Scope  tally.Scope  // nil disables metrics
	Logger *slog.Logger // nil disables logging
}
