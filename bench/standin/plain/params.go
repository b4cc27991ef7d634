package plain

import "time"

// Params configures the service.
type Params struct {
	Seed uint64
	// CallDuration is the duration of a call.
	CallDuration time.Duration
	// Slots is the number of calls that run at once; further calls wait.
	Slots int
}

// DefaultParams returns 16 slots and 5 ms per call.
func DefaultParams() Params { return Params{Seed: 1, CallDuration: 5 * time.Millisecond, Slots: 16} }
