package plain

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is the fault plan, the body of POST /fault.
type Fault struct {
	// Slow is the delay added to each call before it executes.
	Slow httpkit.Duration `json:"slow,omitempty"`
	// DropBefore is the probability that a call's connection is closed before
	// the call executes, DropAfter that it is closed afterwards.
	DropBefore httpkit.Probability `json:"drop_before,omitempty"`
	DropAfter  httpkit.Probability `json:"drop_after,omitempty"`
	// Refuse is the probability that a call is refused with 503 and
	// X-Not-Run: true.
	Refuse httpkit.Probability `json:"refuse,omitempty"`
	// Leaving makes the load report say that the service is shutting down.
	Leaving bool `json:"leaving,omitempty"`
}
