package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Request describes work that needs a slot.
type Request struct {
	Deployment core.DeploymentID
	Class      core.Class
	Org        core.Org
	// ExpectedTokens is the expected output length; 0 means unknown.
	ExpectedTokens int
	// PrefixHash is a hash of the beginning of the prompt; 0 means none.
	PrefixHash uint64
	// Deadline is when the work must have started; waiting ends then.
	Deadline time.Time
	// Finish is when the work must have ended; zero means no bound. Work waits
	// no longer than lets it end in time, since a slot that is given to work
	// which ends too late is wasted.
	Finish time.Time
	// Due orders batch work; zero for online work.
	Due time.Time
	// Exclude lists replicas already tried.
	Exclude []core.ReplicaID
	// NoWait asks for a slot that is free now. Hedges use it.
	NoWait bool
}
