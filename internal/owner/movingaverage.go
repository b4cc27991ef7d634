package owner

// smoothingFactor is the weight of a new value. One call in 20 may take 20 times
// as long as the others, so the average covers several dozen calls.
const smoothingFactor = 0.05

// movingAverage is an exponentially weighted moving average. It is the
// arithmetic mean until the weight of a new value has fallen to smoothingFactor.
type movingAverage struct {
	value float64
	count int
}

func (a *movingAverage) add(v float64) {
	a.count++
	a.value += (v - a.value) * max(smoothingFactor, 1/float64(a.count))
}
