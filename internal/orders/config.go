package orders

import "time"

// Config holds the bounds of a Service. Zero fields take their defaults.
type Config struct {
	// MaxLoads is the number of permits, and with it the number of loads from
	// the weight store at once in the whole fleet. All nodes must agree.
	MaxLoads int // default 2
	// PermitLength is how long a row must be unchanged before others take the
	// permit over. It is three renewals, so that one failed renewal loses none.
	PermitLength time.Duration // default 30 s
	RenewEvery   time.Duration // default 10 s
	// LagBound is the age that a load report has at most when it arrives.
	LagBound time.Duration // default 3 s
	// ReportValid is how long a report is acted on after it arrived.
	ReportValid time.Duration // default 5 s
	// LoadTimeout is when a load that is not reported is given up.
	LoadTimeout time.Duration // default 10 min
	// BackoffMin and BackoffMax bound the pause before an order is repeated.
	BackoffMin time.Duration // default 1 s
	BackoffMax time.Duration // default 1 min
	// FencedHold is the pause after an engine refused our fencing number. It
	// is the interval at which each node polls the settings on its own.
	FencedHold time.Duration // default 30 s
	// Interval is the time between two looks at all replicas.
	Interval time.Duration // default 500 ms
	// CallTimeout bounds one call to an engine or to the table service.
	CallTimeout time.Duration // default 3 s
	// WaitMin is the shortest pause between two attempts of a node to get a
	// permit; ReadsPerSecond is what the attempts of all nodes add up to.
	WaitMin        time.Duration // default 1 s
	ReadsPerSecond int           // default 20
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxLoads, 2)
	setDefault(&c.PermitLength, 30*time.Second)
	setDefault(&c.RenewEvery, 10*time.Second)
	setDefault(&c.LagBound, 3*time.Second)
	setDefault(&c.ReportValid, 5*time.Second)
	setDefault(&c.LoadTimeout, 10*time.Minute)
	setDefault(&c.BackoffMin, time.Second)
	setDefault(&c.BackoffMax, time.Minute)
	setDefault(&c.FencedHold, 30*time.Second)
	setDefault(&c.Interval, 500*time.Millisecond)
	setDefault(&c.CallTimeout, 3*time.Second)
	setDefault(&c.WaitMin, time.Second)
	setDefault(&c.ReadsPerSecond, 20)
	return c
}

func setDefault[T int | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}

// backoff returns the pause after a number of tries.
func (c Config) backoff(tries int) time.Duration {
	wait := c.BackoffMin
	for range tries - 1 {
		if wait >= c.BackoffMax {
			break
		}
		wait *= 2
	}
	return min(wait, c.BackoffMax)
}
