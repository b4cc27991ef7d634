package load

import (
	"math"
	"time"

	"gentiantide.example/gentiantide/bench/client"
)

// Sample is the outcome of one call.
type Sample struct {
	At   time.Duration // scheduled arrival, from the start of the run
	Kind string
	// SendDelay is the time from the scheduled arrival until the call was sent.
	SendDelay time.Duration
	Result    client.Result
}

// FirstToken returns the milliseconds from the scheduled arrival to the first
// token. It is infinite for a call without a complete response, so that failed calls
// count as the slowest ones.
func (s *Sample) FirstToken() float64 { return s.latency(s.Result.FirstToken) }

// Total returns the same as FirstToken for the last token.
func (s *Sample) Total() float64 { return s.latency(s.Result.Total) }

func (s *Sample) latency(d time.Duration) float64 {
	if !s.Result.OK() {
		return math.Inf(1)
	}
	return milliseconds(s.SendDelay + d)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
