package route

import "time"

// observe judges a replica against the others of its deployment. It returns
// true for the end of a good test request.
func (r *Router) observe(replica *Replica, group []*Replica, o Observation) bool {
	h := &replica.state.health
	first, per := median(group, firstTokenOf), median(group, perTokenOf)
	limit := outlierFactor * o.EjectRatio
	if value := o.firstTokenFor(h); value > 0 {
		h.firstToken.add(value, limit*first)
	}
	if value := o.PerToken(); value > 0 && !o.Partial {
		h.perToken.add(float64(value), limit*per)
	}
	switch {
	case o.Failed:
		h.failures++
	case !o.Cancelled && !o.Partial:
		h.failures = 0
	}
	if replica.state.ejectedUntil.Load() != 0 {
		return o.Probe && !o.Partial && replica.judgeProbe(first, per, o)
	}
	slow := o.EjectRatio > 0 && (h.firstToken.slow(first, o.EjectRatio) || h.perToken.slow(per, o.EjectRatio))
	if (slow || h.failures >= maxFailures) && mayEject(group) {
		replica.eject(o.Now, o.EjectDuration)
	}
	return false
}

// firstTokenFor returns the observed time to the first token. A request that
// was cancelled before it shows only that the time is longer; this counts if
// it is above the average, or the losers of hedging would hide a slow replica.
func (o Observation) firstTokenFor(h *health) float64 {
	if o.Reported {
		return 0
	}
	if o.FirstToken > 0 {
		return float64(o.FirstToken)
	}
	if o.Cancelled && o.Tokens == 0 && float64(o.Total) > h.firstToken.value {
		return float64(o.Total)
	}
	return 0
}

// mayEject allows at most a third of the deployment to be ejected at once.
func mayEject(group []*Replica) bool {
	n := 0
	for _, r := range group {
		if r.state.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return (n+1)*3 <= len(group)
}

// eject takes the replica out. Its record starts again, so that it is judged
// by its test requests.
func (r *Replica) eject(now time.Time, duration time.Duration) {
	h := &r.state.health
	factor := max(1, h.backoff)
	*h = health{backoff: min(2*factor, maxBackoff)}
	r.state.probeUntil.Store(0)
	until := now.Add(duration * time.Duration(factor)).UnixNano()
	r.state.ejectedUntil.Store(until)
}

// judgeProbe ends a test request: a good one brings the replica nearer to its
// return, a bad one ejects it for longer. It returns true for a good one.
func (r *Replica) judgeProbe(first, per float64, o Observation) bool {
	slow := func(v, median float64) bool {
		return o.EjectRatio > 0 && median > 0 && v > o.EjectRatio*median && v-median > float64(minExcess)
	}
	h := &r.state.health
	late := o.FirstToken
	if late == 0 {
		late = o.Total
	}
	if o.Failed || slow(float64(late), first) || slow(float64(o.PerToken()), per) {
		r.eject(o.Now, o.EjectDuration)
		return false
	}
	r.EndProbe()
	if o.Cancelled && o.FirstToken == 0 {
		return false
	}
	if h.probes++; h.probes >= probesToReturn {
		*h = health{backoff: 1}
		r.state.shared.base = r.state.shared.latest
		r.state.ejectedUntil.Store(0)
	}
	return true
}
