package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Poisson returns the arrival times of a Poisson process over a length of time,
// given that it has as many arrivals as the rate per second lets expect. A
// fixed number keeps the load and the number of samples of short runs alike.
func Poisson(seed uint64, rate float64, length time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]time.Duration, int(math.Round(rate*length.Seconds())))
	for i := range out {
		out[i] = time.Duration(random.Float64() * float64(length))
	}
	slices.Sort(out)
	return out
}
