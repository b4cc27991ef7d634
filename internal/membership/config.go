package membership

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to a node of the same
	// data centre.
	HeartbeatInterval = 1 * time.Second
	// DownAfter is the time without a response to a heartbeat after which a node
	// counts as down. It is three heartbeats, so that one lost or late message does
	// not move ownership.
	DownAfter = 3 * time.Second
	// DigestInterval is the time between two digest requests to another data
	// centre.
	DigestInterval = 2 * time.Second
	// DigestValidity is how long a digest is valid. A node of another data centre
	// that no digest has reported for this time counts as down.
	DigestValidity = 6 * time.Second
	// ForgetAfter is how long a down node stays a member if it is not in the fleet
	// list.
	ForgetAfter = 10 * time.Minute
)
