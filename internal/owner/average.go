package owner

// averageGain is the weight of a new value. One call in twenty may be twenty
// times longer than the rest, so the average spans several dozens of calls.
const averageGain = 0.05

// average is an exponentially weighted moving average that starts as the plain
// mean.
type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	a.count++
	a.value += (v - a.value) * max(averageGain, 1/float64(a.count))
}
