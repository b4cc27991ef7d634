package route

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Query describes the work that needs a replica.
type Query struct {
	Deployment core.DeploymentID
	Class      core.Class
	// PrefixHash is a hash of the beginning of the prompt; 0 means none.
	PrefixHash uint64
	Exclude    []core.ReplicaID
	// Random supplies the random bits of the choice.
	Random uint64
	Now    time.Time
}
