package membership

import "time"

const (
	// HeartbeatInterval is the time between heartbeats inside a data centre.
	HeartbeatInterval = 1 * time.Second
	// DownAfter is how long a node is missed before it counts as down: three
	// heartbeats, so that one lost or late message moves nothing.
	DownAfter = 3 * time.Second
	// DigestInterval is the time between two readings of another data
	// centre's members.
	DigestInterval = 2 * time.Second
	// DigestValid is how long a reading of another data centre is believed.
	DigestValid = 6 * time.Second
	// ForgetAfter is how long a down node that the fleet list does not name
	// is kept.
	ForgetAfter = 10 * time.Minute
)
