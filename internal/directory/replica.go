package directory

import "gentiantide.example/gentiantide/internal/core"

// State says whether a backend server may be given new work.
type State uint8

const (
	// StateUp means that the backend server answers its owner's polls, or that
	// its state is not known.
	StateUp State = iota
	// StateLeaving means that the backend server is leaving the fleet or is
	// drained by an operator, and must be given no new work.
	StateLeaving
	// StateDown means that the backend server does not answer its owner's polls.
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

// Replica is this node's knowledge of one backend server.
type Replica struct {
	ID         core.ReplicaID
	Deployment core.DeploymentID
	DataCentre core.DataCentre
	Region     core.Region
	// Address is the IP address and port of the backend server.
	Address string
	State   State
	// Reason says why the state is not up, for example "drained by an operator".
	Reason string
	// Slots is the maximum number of concurrent requests of the replica.
	Slots int
	// InUse is the number of reservations in use, and Queued the number of online
	// requests that wait for one, as last published by the owner.
	InUse  int
	Queued int
	// Batch is the number of batch reservations in InUse. They are preempted by
	// online work.
	Batch int
}
