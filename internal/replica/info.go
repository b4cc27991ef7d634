package replica

import "gentiantide.example/gentiantide/internal/core"

// Info is the registration of a backend server.
type Info struct {
	ID         core.ReplicaID
	Service    core.DeploymentID
	Address    string
	DataCentre core.DataCentre
	Slots      int
	// Started is the start time of the process in Unix milliseconds, or 0 if
	// unknown. A replica that restarts under the same ID has another value.
	Started int64
	// Leaving is set for a draining replica, which gets no new work.
	Leaving bool
}
