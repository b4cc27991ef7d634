package route

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Query describes a request that needs a replica.
type Query struct {
	Deployment core.DeploymentID
	Class      core.Class
	// PrefixHash is a hash of the prompt's prefix; 0 means none.
	PrefixHash uint64
	Exclude    []core.ReplicaID
	// Random is the seed of the random choices.
	Random uint64
	Now    time.Time
}
