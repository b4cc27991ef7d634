package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Request is a request to a ledger for one slot.
type Request struct {
	ID     core.ReservationID
	Holder core.NodeID
	Class  core.Class
	Org    core.Org
	// Weight is the organisation's weight in fair queueing; values below 1 count
	// as 1.
	Weight int
	// Tokens is the expected output length; 0 means unknown.
	Tokens int
	// Deadline is when the work must have started; zero means none.
	Deadline time.Time
	// Finish is when the work must have ended; zero means none. The request may
	// wait until Finish minus the expected service time.
	Finish time.Time
	// Due is the due time of batch work; batch waiters are served in its order.
	Due time.Time
	// NoWait refuses the request if no slot can be granted at once.
	NoWait bool
	// Probe marks a probe of a replica that the holder has ejected.
	Probe bool
}
