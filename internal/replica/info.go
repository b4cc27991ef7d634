package replica

import "gentiantide.example/gentiantide/internal/core"

// Info is what a backend server registered about itself.
type Info struct {
	ID         core.ReplicaID
	Service    core.DeploymentID
	Address    string
	DataCentre core.DataCentre
	Slots      int
	// Started is the Unix millisecond of the process start, or 0 if unknown. A
	// replica that starts again under its id has another value.
	Started int64
	// Leaving is set for a replica that gets no new work.
	Leaving bool
}
