package replica

import "time"

const (
	// sharedFresh is how long the counts of other nodes hold. They are told
	// several times a second.
	sharedFresh = 600 * time.Millisecond
	// slowdownFresh is how long a reported slowdown holds. The neighbours that
	// cause it change many times a second.
	slowdownFresh = 300 * time.Millisecond
)
