package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Slot is a reserved place on a replica. The holder must call Release exactly
// once.
type Slot interface {
	// Replica returns the replica's id.
	Replica() core.ReplicaID
	// Address returns the IP and port of the backend server.
	Address() string
	// Preempted is closed when the owner wants the slot back for online work.
	// The holder then cancels its stream and releases the slot. It never
	// closes for online work.
	Preempted() <-chan struct{}
	// Release gives the slot back and reports how the work went.
	Release(Observation)
}

// Observation is what the holder of a slot saw. It feeds ejection and the
// estimate of waiting times.
type Observation struct {
	// Failed is set if the backend server failed (not if the caller went away
	// or the request was invalid).
	Failed bool
	// Cancelled is set if the holder ended the work early.
	Cancelled bool
	// FirstToken is the time from sending to the first token; 0 if none came.
	FirstToken time.Duration
	// Total is the time from sending to the end.
	Total  time.Duration
	Tokens int
}

// FirstTokenReporter is implemented by the slots of a Dispatcher. A holder that
// reports the first token when it comes, and not only by Release, lets all
// nodes find a slow backend server sooner. Further calls are ignored; Release
// still reports FirstToken.
type FirstTokenReporter interface {
	// ReportFirstToken takes the time from sending to the first token.
	ReportFirstToken(after time.Duration)
}
