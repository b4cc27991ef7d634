package plain

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is what POST /fault commands.
type Fault struct {
	// Slow is added to each call before it executes.
	Slow httpkit.Duration `json:"slow,omitempty"`
	// DropBefore is the share of calls whose connection is closed before they
	// execute, DropAfter the share whose connection is closed afterwards.
	DropBefore httpkit.Share `json:"drop_before,omitempty"`
	DropAfter  httpkit.Share `json:"drop_after,omitempty"`
	// Refuse is the share of calls answered 503 with X-Not-Run: true.
	Refuse httpkit.Share `json:"refuse,omitempty"`
	// Leaving sets the mark in the load report.
	Leaving bool `json:"leaving,omitempty"`
}
