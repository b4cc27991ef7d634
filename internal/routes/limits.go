package routes

import "time"

// Limits bound what a caller may send and how long a connection may idle. A
// zero value is no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
