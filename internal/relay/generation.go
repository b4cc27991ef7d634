package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Generation is one piece of work for a model engine.
type Generation struct {
	// ID is unique in the fleet; each send adds its number to it.
	ID         string
	Deployment core.DeploymentID
	Org        core.Org
	Class      core.Class
	// Path is "/v1/chat/completions" or "/v1/completions".
	Path string
	// Body is the JSON request as backend.Request wants it.
	Body []byte
	// NonIdempotent allows at most one send that may run.
	NonIdempotent  bool
	ExpectedTokens int
	PrefixHash     uint64
	// Deadline ends online work; zero takes the deployment's. Batch work ends
	// with its context only.
	Deadline time.Time
	// Due orders batch work.
	Due time.Time
	// BeforeSend, if set, is asked directly before each send; a refusal stops the
	// work unsent.
	BeforeSend func() *core.Refusal
}
