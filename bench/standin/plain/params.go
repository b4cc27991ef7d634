package plain

import "time"

// Params configures the service.
type Params struct {
	Seed uint64
	// Time is the duration of a call.
	Time time.Duration
	// Slots is the number of calls that run at once; further calls wait.
	Slots int
}

// DefaultParams returns 16 slots and 5 ms per call.
func DefaultParams() Params { return Params{Seed: 1, Time: 5 * time.Millisecond, Slots: 16} }
