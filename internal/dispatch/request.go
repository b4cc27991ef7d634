package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Request describes the work for which Dispatcher.Acquire acquires a slot.
type Request struct {
	Deployment core.DeploymentID
	Class      core.Class
	Org        core.Org
	// ExpectedTokens is the expected output length; 0 means unknown.
	ExpectedTokens int
	// PrefixHash is a hash of the prompt's prefix; 0 means none.
	PrefixHash uint64
	// Deadline is when the work must have started; zero means none. Acquire
	// stops waiting at that time.
	Deadline time.Time
	// Finish is when the work must have ended; zero means no limit. The owner
	// stops the wait early enough that the work can still end in time, because
	// a slot is wasted on work that ends too late.
	Finish time.Time
	// Due is the due time of batch work, which is served in its order; zero for
	// online work.
	Due time.Time
	// Exclude lists the replicas that must not be used, such as those already
	// tried.
	Exclude []core.ReplicaID
	// NoWait acquires a slot only if one is free now. Hedged requests set it.
	NoWait bool
}
