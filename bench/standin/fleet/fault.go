package fleet

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is the fault plan, the body of POST /fault.
type Fault struct {
	// Down rejects every read with 503.
	Down bool `json:"down,omitempty"`
	// Delay is added to every read.
	Delay httpkit.Duration `json:"delay,omitempty"`
	// ExtraLag is added to the lag of the list.
	ExtraLag httpkit.Duration `json:"extra_lag,omitempty"`
}
