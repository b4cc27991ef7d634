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
	// NonIdempotent means that the call must not be sent again once it may have
	// run. The deployment's NonIdempotentRoutes have the same effect.
	NonIdempotent bool
	// Deadline applies to online requests; if it is zero, the deployment's
	// OnlineDeadline applies. Batch requests are limited by their context only.
	Deadline time.Time
	// Due is when a batch request is due; waiting batch requests are ordered by it.
	Due time.Time
	// BeforeSend, if set, is called directly before each send. If it returns a refusal,
	// the request is not sent and fails with that refusal.
	BeforeSend func() *core.Refusal
}

// CallResult is the result of a plain call. It is also valid if the call was
// refused.
type CallResult struct {
	Response backend.CallResponse
	// Attempts is the number of sends, hedges included.
	Attempts int
	// Execution is NotRun only if no backend server can have run the call.
	Execution core.Execution
}
