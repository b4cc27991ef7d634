package membership

import "gentiantide.example/gentiantide/internal/core"

// State is how a node is seen.
type State uint8

const (
	// StateUnknown is a candidate that has not answered yet.
	StateUnknown State = iota
	// StateLive is a node whose heartbeats arrive.
	StateLive
	// StateLeaving is a node that is stopping; it owns nothing new.
	StateLeaving
	// StateDown is a node whose heartbeats stopped.
	StateDown
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateLeaving:
		return "leaving"
	case StateDown:
		return "down"
	default:
		return "unknown"
	}
}

// Member is one node.
type Member struct {
	ID         core.NodeID
	DataCentre core.DataCentre
	Region     core.Region
	// Address is the IP and port of the peer listener.
	Address string
	State   State
	// Incarnation is the start time of the process in nanoseconds; it tells a
	// restarted node from its earlier self.
	Incarnation     int64
	SettingsVersion uint64
}
