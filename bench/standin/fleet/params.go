package fleet

import "time"

// Params are the fixed properties of the service.
type Params struct {
	// Lag is how old the list is that callers see.
	Lag time.Duration
}

// DefaultParams has a lag of several seconds, as the platform does.
func DefaultParams() Params { return Params{Lag: 3 * time.Second} }
