package relay

import "gentiantide.example/gentiantide/internal/core"

// Budget is the retry budget of each deployment. It limits retries, resumes and
// hedges together, so that they cannot multiply the load on backend servers that
// are already failing. It is safe for concurrent use.
type Budget interface {
	// RecordSuccess records a success, which adds share (0 to 1) of a retry to the
	// budget.
	RecordSuccess(deployment core.DeploymentID, share float64)
	// Spend takes one retry from the budget. It returns false if none is left.
	Spend(deployment core.DeploymentID) bool
}
