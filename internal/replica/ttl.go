package replica

import "time"

const (
	// remoteCountsTTL is how long the request counts reported by other nodes are
	// used. Nodes report them several times a second.
	remoteCountsTTL = 600 * time.Millisecond
	// slowdownTTL is how long a reported slowdown is used. The workloads on the
	// same machine that cause it change many times a second.
	slowdownTTL = 300 * time.Millisecond
)
