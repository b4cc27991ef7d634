package objects

import "time"

// Params are the fixed properties of the service.
type Params struct {
	Seed            uint64
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxWait is how long excess calls are queued before they are refused.
	MaxWait time.Duration
}

// DefaultParams has the capacity that the design assumes of the platform.
func DefaultParams() Params {
	return Params{Seed: 1, WritesPerSecond: 400, ReadsPerSecond: 2000, MaxWait: 250 * time.Millisecond}
}

// burst is how long an idle service saves up capacity.
const burst = 50 * time.Millisecond
