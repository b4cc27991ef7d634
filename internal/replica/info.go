package replica

import "gentiantide.example/gentiantide/internal/core"

// Info is the registration of a backend server.
type Info struct {
	ID         core.ReplicaID
	Service    core.DeploymentID
	Address    string
	DataCentre core.DataCentre
	Slots      int
	// Version is the version of the replica's software.
	Version core.SoftwareVersion
	// Started is the start time of the process in Unix milliseconds, or 0 if
	// unknown. A replica that restarts under the same ID has another value.
	Started int64
	// Leaving is set for a draining replica, which gets no new work.
	Leaving bool
}

// HasVersion reports whether the replica's software has a version. No version is
// required if it is nil.
func (i *Info) HasVersion(required *core.SoftwareVersion) bool {
	return required == nil || i.Version == *required
}
