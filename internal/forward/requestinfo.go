package forward

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/quarantine"
)

// RequestInfo holds what the headers of a caller's request say.
type RequestInfo struct {
	// ID is the request ID. Replicas return it in their responses.
	ID string
	// CallerTimeout is how long the caller waits for the response, counted from
	// when it sent the request. 0 means that the caller set no deadline.
	CallerTimeout time.Duration
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []quarantine.Part
	// OnlyReplica is the only replica that may run the request, or empty. Nodes name it
	// when they send a request to a replica.
	OnlyReplica core.ReplicaID
}
