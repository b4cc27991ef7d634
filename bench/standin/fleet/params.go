package fleet

import "time"

// Params configures the service.
type Params struct {
	// Lag is the age of the list that callers see.
	Lag time.Duration
}

// DefaultParams returns a lag of several seconds, like that of the platform.
func DefaultParams() Params { return Params{Lag: 3 * time.Second} }
