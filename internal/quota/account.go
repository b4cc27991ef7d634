package quota

import "time"

const (
	// demandTime is the time over which a node averages the requests of an organisation.
	demandTime = 500 * time.Millisecond
	// maxReturns bounds the entries that wait to be given back. More are merged.
	maxReturns = 16
	// returnStep is the resolution of the age of what is given back.
	returnStep = 250 * time.Millisecond
)

// admission is what an account decides on a request.
type admission uint8

const (
	admitted admission = iota + 1
	refused
	// undecided means that the owner must be asked.
	undecided
)

// account is a node's account of an organisation: its leases, the demand, and what it
// gives back. It is not safe for concurrent use.
type account struct {
	// leases are the older and the newer one.
	leases [2]lease
	// refusedUntil and retryAt come from the owner's last answer.
	refusedUntil time.Time
	retryAt      time.Time
	demand       float64
	demandAt     time.Time
	returns      []lease
}

// admit decides on a request that has just arrived, or on one that waits for the owner's
// answer.
func (a *account) admit(arrives bool, now time.Time) admission {
	a.expire(now)
	if arrives {
		a.countDemand(now)
	}
	for i := range a.leases {
		if a.leases[i].left > 0 {
			a.leases[i].left--
			return admitted
		}
	}
	if now.Before(a.refusedUntil) {
		return refused
	}
	return undecided
}

func (a *account) countDemand(now time.Time) {
	if passed := now.Sub(a.demandAt); passed > 0 {
		a.demand *= max(0, 1-float64(passed)/float64(demandTime))
		a.demandAt = now
	}
	a.demand++
}

// advance returns how many requests to ask for ahead of need.
func (a *account) advance() int {
	return int(a.demand * float64(leaseTime) / float64(demandTime))
}

// low reports whether it is time to ask for the next lease.
func (a *account) low() bool {
	return 2*(a.leases[0].left+a.leases[1].left) < a.advance()
}

// granted adds a lease that was asked for at a time.
func (a *account) granted(n int, askedAt, now time.Time) {
	a.refusedUntil = time.Time{}
	a.giveBack(a.leases[0])
	a.leases[0], a.leases[1] = a.leases[1], lease{left: n, at: askedAt}
	a.expire(now)
}

// refusedFor notes that the owner has nothing to lease before the wait is over.
func (a *account) refusedFor(wait time.Duration, now time.Time) {
	a.retryAt = now.Add(wait)
	a.refusedUntil = now.Add(min(wait, maxRefusal))
}

// expire gives back what is left of leases that are over.
func (a *account) expire(now time.Time) {
	for i := range a.leases {
		if l := &a.leases[i]; l.left > 0 && l.over(now) {
			a.giveBack(*l)
			l.left = 0
		}
	}
}

// giveBack returns what is left of a lease, or the requests that were not run.
func (a *account) giveBack(l lease) {
	if l.left <= 0 {
		return
	}
	for i := range a.returns {
		r := &a.returns[i]
		if apart := l.at.Sub(r.at).Abs(); apart < returnStep || len(a.returns) >= maxReturns {
			r.left += l.left
			if l.at.Before(r.at) {
				r.at = l.at
			}
			return
		}
	}
	a.returns = append(a.returns, l)
}

// takeReturns returns what is to be given back, and forgets it.
func (a *account) takeReturns(now time.Time) []returned {
	if len(a.returns) == 0 {
		return nil
	}
	out := make([]returned, 0, len(a.returns))
	for _, r := range a.returns {
		out = append(out, returned{Count: r.left, Age: max(0, now.Sub(r.at))})
	}
	a.returns = a.returns[:0]
	return out
}
