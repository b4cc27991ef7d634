package relay

import "gentiantide.example/gentiantide/internal/core"

// Budget bounds retries, resumes and hedges of a deployment together, so that
// they cannot multiply the load on backend servers that are already failing.
// It is safe for concurrent use.
type Budget interface {
	// RecordSuccess credits one success; share (0 to 1) of it may be spent.
	RecordSuccess(deployment core.DeploymentID, share float64)
	// Spend takes one retry, or reports false if none is left.
	Spend(deployment core.DeploymentID) bool
}
