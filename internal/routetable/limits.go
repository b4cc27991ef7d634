package routetable

import "time"

// Limits are the limits in the operator's configuration on the size of a caller's
// request, the time to read its headers and the time a connection may be idle. A
// zero field is not configured.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// SameConnectionLimits reports whether the limits that apply to a connection, as
// opposed to a request, are the same.
func (l Limits) SameConnectionLimits(o Limits) bool {
	return l.HeaderBytes == o.HeaderBytes && l.HeaderTimeout == o.HeaderTimeout && l.IdleTimeout == o.IdleTimeout
}
