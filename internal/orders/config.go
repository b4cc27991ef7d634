package orders

import "time"

// Config holds the limits and intervals of a Service. Zero fields take their
// defaults.
type Config struct {
	// MaxLoads is the number of permits, and so the largest number of
	// concurrent loads from the weight store in the whole fleet. All nodes must
	// use the same value.
	MaxLoads int // default 2
	// PermitTTL is how long the row of a permit must be unchanged before another
	// node may take the permit over. It is three renewal intervals, so that one
	// failed renewal does not lose the permit.
	PermitTTL time.Duration // default 30 s
	// RenewInterval is the time between two renewals of a permit.
	RenewInterval time.Duration // default 10 s
	// MaxReportLag is the largest age of a load report when it arrives.
	MaxReportLag time.Duration // default 3 s
	// ReportTTL is how long after its arrival a report may be acted on.
	ReportTTL time.Duration // default 5 s
	// LoadTimeout is the time after its order at which a load is given up if the
	// model is not reported as loaded.
	LoadTimeout time.Duration // default 10 min
	// BackoffMin and BackoffMax limit the delay before an order is repeated.
	BackoffMin time.Duration // default 1 s
	BackoffMax time.Duration // default 1 min
	// FencedDelay is the pause after an engine refused our fencing number. It
	// equals the interval at which each node polls the settings.
	FencedDelay time.Duration // default 30 s
	// ReconcileInterval is the time between two passes over all replicas.
	ReconcileInterval time.Duration // default 500 ms
	// CallTimeout limits one call to an engine or to the table service.
	CallTimeout time.Duration // default 3 s
	// AcquireDelayMin is the shortest delay between two attempts of a node to
	// acquire a permit. ScansPerSecond is the rate to which the attempts of all
	// nodes together back off; each attempt is one scan of the permit rows.
	AcquireDelayMin time.Duration // default 1 s
	ScansPerSecond  int           // default 20
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxLoads, 2)
	setDefault(&c.PermitTTL, 30*time.Second)
	setDefault(&c.RenewInterval, 10*time.Second)
	setDefault(&c.MaxReportLag, 3*time.Second)
	setDefault(&c.ReportTTL, 5*time.Second)
	setDefault(&c.LoadTimeout, 10*time.Minute)
	setDefault(&c.BackoffMin, time.Second)
	setDefault(&c.BackoffMax, time.Minute)
	setDefault(&c.FencedDelay, 30*time.Second)
	setDefault(&c.ReconcileInterval, 500*time.Millisecond)
	setDefault(&c.CallTimeout, 3*time.Second)
	setDefault(&c.AcquireDelayMin, time.Second)
	setDefault(&c.ScansPerSecond, 20)
	return c
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// backoff returns the delay after a number of attempts.
func (c Config) backoff(attempts int) time.Duration {
	delay := c.BackoffMin
	for range attempts - 1 {
		if delay >= c.BackoffMax {
			break
		}
		delay *= 2
	}
	return min(delay, c.BackoffMax)
}
