package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Generation is one generation on a model engine.
type Generation struct {
	// ID is unique in the fleet. The relay appends the number of the attempt for
	// each send.
	ID         string
	Deployment core.DeploymentID
	Org        core.Org
	Class      core.Class
	// Path is "/v1/chat/completions" or "/v1/completions".
	Path string
	// Body is the JSON request as described for backend.GenerateRequest.Body.
	Body []byte
	// NonIdempotent means that the generation must not be sent again once it may
	// have run.
	NonIdempotent  bool
	ExpectedTokens int
	PrefixHash     uint64
	// Deadline applies to online requests; if it is zero, the deployment's
	// OnlineDeadline applies. Batch requests are limited by their context only.
	Deadline time.Time
	// Due is when a batch request is due; waiting batch requests are ordered by it.
	Due time.Time
	// BeforeSend, if set, is called directly before each send. If it returns a refusal,
	// the request is not sent and fails with that refusal.
	BeforeSend func() *core.Refusal
}
