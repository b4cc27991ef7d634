package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Request asks a ledger for one slot.
type Request struct {
	ID     core.ReservationID
	Holder core.NodeID
	Class  core.Class
	Org    core.Org
	// Weight is the organisation's weight in fair sharing; below 1 counts as 1.
	Weight int
	// Tokens is the expected output length; 0 means unknown.
	Tokens int
	// Deadline is when the work must have started; zero means none.
	Deadline time.Time
	// Finish is when the work must have ended; zero means none. It shortens
	// the wait by the expected service time.
	Finish time.Time
	// Due orders batch waiters.
	Due time.Time
	// NoWait refuses the request if no slot can be granted at once.
	NoWait bool
	// Probe marks a test request to a replica that the holder has ejected.
	Probe bool
}
