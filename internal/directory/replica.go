package directory

import "gentiantide.example/gentiantide/internal/core"

// State says whether a backend server may get work.
type State uint8

const (
	// StateUp is a backend server that answers its owner's polls.
	StateUp State = iota
	// StateLeaving is one that is leaving or drained: no new work.
	StateLeaving
	// StateDown is one that does not answer.
	StateDown
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateLeaving:
		return "leaving"
	case StateDown:
		return "down"
	default:
		return "up"
	}
}

// Replica is one backend server as this node sees it.
type Replica struct {
	ID         core.ReplicaID
	Deployment core.DeploymentID
	DataCentre core.DataCentre
	Region     core.Region
	// Address is the IP and port of the backend server.
	Address string
	State   State
	// Reason says why the state is not up, for example "drained by operator".
	Reason string
	// Slots is the number of requests the replica is given at once.
	Slots int
	// InUse and Queued are the owner's last published counts of reservations
	// in use and waiting.
	InUse  int
	Queued int
	// Batch counts the batch reservations in InUse, which give way to online
	// work.
	Batch int
}
