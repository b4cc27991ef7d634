package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// PoissonArrivals returns the sorted arrival times of a Poisson process that is
// conditioned on its expected number of arrivals, rate per second times duration.
// The fixed number keeps load and sample counts equal among short runs.
func PoissonArrivals(seed uint64, rate float64, duration time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]time.Duration, int(math.Round(rate*duration.Seconds())))
	for i := range out {
		out[i] = time.Duration(random.Float64() * float64(duration))
	}
	slices.Sort(out)
	return out
}
