package membership

import "gentiantide.example/gentiantide/internal/core"

// State is the state of a node as another node sees it.
type State uint8

const (
	// StateUnknown is the state of a node that has neither responded to a heartbeat
	// nor appeared in a digest yet.
	StateUnknown State = iota
	// StateLive is the state of a node of the same data centre that exchanges
	// heartbeats in both directions, and of a node of another data centre that a
	// recent digest reports.
	StateLive
	// StateLeaving is the state of a node that is stopping. It is no longer chosen
	// as an owner.
	StateLeaving
	// StateDown is the state of a node that was live and whose heartbeats or digests
	// no longer arrive.
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

// Member is one node of the membership.
type Member struct {
	ID         core.NodeID
	DataCentre core.DataCentre
	Region     core.Region
	// Address is the IP and port of the peer listener.
	Address string
	State   State
	// Incarnation is the start time of the process in nanoseconds since 1970. It
	// distinguishes a restarted process from the earlier one with the same ID.
	Incarnation     int64
	SettingsVersion uint64
}
