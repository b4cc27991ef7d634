package plain

import "time"

// Params are the fixed properties of the service.
type Params struct {
	Seed uint64
	// Time is how long a call takes.
	Time time.Duration
	// Slots is how many calls run at once; others wait.
	Slots int
}

// DefaultParams returns a service of 16 slots that takes 5 ms for a call.
func DefaultParams() Params { return Params{Seed: 1, Time: 5 * time.Millisecond, Slots: 16} }
