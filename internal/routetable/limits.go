package routetable

import "time"

// Limits are the limits in the operator's configuration on the size of a caller's
// request, the time to read its headers and the time a connection may be idle. A
// zero field is not configured. Of these a node enforces BodyBytes; its HTTP server
// has fixed limits for the others.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
