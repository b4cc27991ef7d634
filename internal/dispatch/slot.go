package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Slot is a held slot on a replica. The holder must call Release exactly once.
type Slot interface {
	// Replica returns the replica's ID.
	Replica() core.ReplicaID
	// Address returns the IP and port of the backend server.
	Address() string
	// Preempted returns a channel that is closed when the owner preempts the
	// slot for online work. The holder must then cancel its work and release
	// the slot. Slots of online work are never preempted.
	Preempted() <-chan struct{}
	// Release releases the slot and reports the outcome of the work.
	Release(Observation)
}

// Observation is the outcome of the work of a slot, as its holder observed it.
// Ejection and the estimates of waiting times are based on it.
type Observation struct {
	// Failed is set if the backend server failed. It is not set if the caller
	// disconnected or the request was invalid.
	Failed bool
	// Cancelled is set if the holder ended the work early.
	Cancelled bool
	// FirstToken is the time from sending the request to the first token; 0 if
	// none arrived.
	FirstToken time.Duration
	// Total is the time from sending the request to its end.
	Total  time.Duration
	Tokens int
}

// FirstTokenReporter is implemented by the slots of a Dispatcher. If holders
// report the first token when it arrives, and not only with Release, all nodes
// detect a slow backend server sooner. Calls after the first are ignored. The
// observation passed to Release still includes FirstToken.
type FirstTokenReporter interface {
	// ReportFirstToken reports the time from sending the request to the first
	// token.
	ReportFirstToken(after time.Duration)
}
