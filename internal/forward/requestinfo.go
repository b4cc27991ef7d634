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
	// TakesUp is set if the caller has received the first events of the stream in an
	// earlier attempt. Began is the ID of the attempt that brought the first of them, or
	// empty if the caller does not name it.
	TakesUp bool
	Began   string
	// PromptParts are the parts of the prompt that other requests may share.
	PromptParts []quarantine.Part
	// OnlyReplica is the only replica that may run the request, or empty. Nodes name it
	// when they send a request to a replica.
	OnlyReplica core.ReplicaID
	// Key is the key of the caller, or empty. It must not be logged or sent on.
	Key string
	// Identified is set by the Handler if the configuration names organisations. Org is
	// then that of the caller, or empty if the route is public and the caller has none.
	Identified bool
	Org        core.Org
}
