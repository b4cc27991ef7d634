package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
)

// PlainCall is one call of a plain service.
type PlainCall struct {
	Deployment core.DeploymentID
	Org        core.Org
	Class      core.Class
	Call       backend.Call
	// NonIdempotent is the caller's mark; the deployment's
	// NonIdempotentRoutes mark calls too.
	NonIdempotent bool
	// Deadline ends online work; zero takes the deployment's. Batch work ends
	// with its context only.
	Deadline time.Time
	// Due orders batch work.
	Due time.Time
	// BeforeSend, if set, is asked directly before each send; a refusal stops the
	// work unsent.
	BeforeSend func() *core.Refusal
}

// CallResult is what became of a plain call, also of one that was refused.
type CallResult struct {
	Response backend.CallResponse
	// Attempts is the number of sends, hedges included.
	Attempts int
	// Execution is NotRun if no backend server can have run the call.
	Execution core.Execution
}
