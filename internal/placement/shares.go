package placement

import (
	"maps"
	"math"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// shareInterval is the time between two updates of the shares.
	shareInterval = time.Second
	// learningTime is how long a hub measures the demand before it holds any organisation
	// to a share, and counts all of what it sees as usual.
	learningTime = 4 * time.Second
	// shareMargin is by how many standard deviations of the measured demand the share
	// exceeds it: few requests say little of what an organisation usually sends.
	shareMargin = 2.0
	// leastShare is the share of an organisation that usually sends less or nothing, as a
	// part of the mean.
	leastShare = 0.5
	// forgottenDemand is the usual demand, in turns a second, below which an organisation
	// that sends nothing is forgotten.
	forgottenDemand = 0.001
)

// shares derive the shares of the organisations: from their usual demand and weights, or
// from the weights alone.
type shares struct {
	// equal is set if the demand does not matter.
	equal bool
	// known is set if the demand was measured for long enough.
	known     bool
	beganAt   time.Time
	updatedAt time.Time
	// measured is the time over which the demand was averaged, mean that of an
	// organisation and sum that of the weighted demands, at the last update.
	measured  time.Duration
	mean, sum float64
}

// update ages the demands and computes the shares, once in each interval. While nobody asks
// for anything there is no usual demand: the measurement begins anew, as no rise is bounded
// by the demand of nobody.
func (s *shares) update(accounts map[core.Org]*account, now time.Time) {
	if s.beganAt.IsZero() {
		s.beganAt, s.updatedAt = now, now
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed < shareInterval {
		return
	}
	age := now.Sub(s.beganAt)
	s.updatedAt = now
	for _, a := range accounts {
		a.demand.update(elapsed, age, !s.equal && age > learningTime, leastShare*s.mean)
	}
	maps.DeleteFunc(accounts, func(_ core.Org, a *account) bool {
		return a.demand.perSecond < forgottenDemand
	})
	if len(accounts) == 0 {
		*s = shares{equal: s.equal}
		return
	}
	s.derive(accounts, age)
}

// derive computes the shares from demands that were measured for some time.
func (s *shares) derive(accounts map[core.Org]*account, age time.Duration) {
	if len(accounts) == 0 {
		return
	}
	s.measured = min(age, usualWindow)
	total := 0.0
	for _, a := range accounts {
		total += a.demand.perSecond
	}
	s.mean, s.sum = total/float64(len(accounts)), 0
	for _, a := range accounts {
		s.sum += s.weighted(a)
	}
	s.known = s.equal || age >= learningTime
	for _, a := range accounts {
		s.set(a)
	}
}

func (s *shares) weighted(a *account) float64 {
	if s.equal {
		return a.weight
	}
	margin := shareMargin * math.Sqrt(a.demand.perSecond/s.measured.Seconds())
	return a.weight * max(a.demand.perSecond+margin, leastShare*s.mean)
}

// set computes the share of an organisation from the sum at the last update.
func (s *shares) set(a *account) {
	if s.known {
		a.share = min(1, s.weighted(a)/s.sum)
	}
}

// added gives a new organisation its share, if shares are known.
func (s *shares) added(a *account, accounts map[core.Org]*account) {
	if !s.equal {
		s.set(a)
		return
	}
	s.sum, s.known = 0, true
	for _, other := range accounts {
		s.sum += s.weighted(other)
	}
	for _, other := range accounts {
		s.set(other)
	}
}
