package load

import (
	"math/rand/v2"
	"time"
)

// Poisson returns the arrival times of a Poisson process with a rate per
// second over a length of time.
func Poisson(seed uint64, rate float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	var out []time.Duration
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		d := time.Duration(at * float64(time.Second))
		if d >= length {
			return out
		}
		out = append(out, d)
	}
}
