package objects

import "time"

// Params configures the service.
type Params struct {
	Seed uint64
	// WritesPerSecond limits puts and deletes, ReadsPerSecond gets. A limit of 0
	// means unlimited.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// MaxWait is the longest time that a call over the rate limit waits. A call
	// that would wait longer is rejected with 503.
	MaxWait time.Duration
}

// DefaultParams returns the capacity that the design assumes of the platform.
func DefaultParams() Params {
	return Params{Seed: 1, WritesPerSecond: 400, ReadsPerSecond: 2000, MaxWait: 250 * time.Millisecond}
}

// burst is the time for which an idle service accumulates unused capacity.
const burst = 50 * time.Millisecond
