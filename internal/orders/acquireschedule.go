package orders

import "time"

// acquireSchedule determines when this node next tries to acquire a permit. The
// node tries for one replica at a time.
type acquireSchedule struct {
	inFlight    bool // an attempt is running
	nextAttempt time.Time
	delay       time.Duration
}

// start schedules the first attempt of a node that starts to wait, unless an
// attempt is scheduled already.
func (a *acquireSchedule) start(now time.Time, c Config, random float64) {
	if a.nextAttempt.IsZero() {
		a.delay = c.AcquireDelayMin
		a.nextAttempt = now.Add(time.Duration(random * float64(a.delay)))
	}
}

// backOff schedules the next attempt after a failed one. The delay doubles up to
// the one at which the attempts of all nodes add up to Config.ScansPerSecond,
// and has a jitter of plus or minus half.
func (a *acquireSchedule) backOff(now time.Time, c Config, nodes int, random float64) {
	maxDelay := max(c.AcquireDelayMin, time.Duration(nodes)*time.Second/time.Duration(c.ScansPerSecond))
	a.delay = min(2*a.delay, maxDelay)
	a.nextAttempt = now.Add(time.Duration((0.5 + random) * float64(a.delay)))
}
