package routetable

import "time"

// Limits bound the size of a caller's request, the time to read its headers and
// the time a connection may be idle. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
