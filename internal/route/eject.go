package route

import "time"

// recordObservation records an observation and ejects the replica if it is slow
// compared with the others of its deployment or has failed repeatedly. It
// returns true if the observation ends a passed probe.
func (r *Router) recordObservation(replica *Replica, group []*Replica, o Observation) bool {
	h := &replica.state.health
	firstMedian, perMedian := median(group, firstTokenOf), median(group, perTokenOf)
	limit := outlierFactor * o.EjectRatio
	if value := o.firstTokenSample(h); value > 0 {
		h.firstToken.add(value, limit*firstMedian)
	}
	if value := o.PerToken(); value > 0 && !o.InProgress {
		h.perToken.add(float64(value), limit*perMedian)
	}
	switch {
	case o.Failed:
		h.failures++
	case !o.Cancelled && !o.InProgress:
		h.failures = 0
	}
	if replica.state.ejectedUntil.Load() != 0 {
		return o.Probe && !o.InProgress && replica.evaluateProbe(firstMedian, perMedian, o)
	}
	slow := o.EjectRatio > 0 && (h.firstToken.isSlow(firstMedian, o.EjectRatio) || h.perToken.isSlow(perMedian, o.EjectRatio))
	if (slow || h.failures >= maxFailures) && mayEject(group) {
		replica.eject(o.Now, o.EjectDuration)
	}
	return false
}

// firstTokenSample returns the observed time to the first token, or 0 if there
// is none to record. For a request that was cancelled before the first token, the
// total time is a lower bound. It is used if it exceeds the average: otherwise
// a slow replica, whose hedged requests are cancelled, would not be detected.
func (o Observation) firstTokenSample(h *health) float64 {
	if o.FirstTokenReported {
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

// mayEject reports whether one more replica of the deployment may be ejected. At
// most a third of the replicas are ejected at the same time.
func mayEject(group []*Replica) bool {
	n := 0
	for _, r := range group {
		if r.state.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return (n+1)*3 <= len(group)
}

// eject ejects the replica for the duration times the current backoff factor.
// It resets the health record, so that only probes decide on readmission.
func (r *Replica) eject(now time.Time, duration time.Duration) {
	h := &r.state.health
	factor := max(1, h.backoff)
	*h = health{backoff: min(2*factor, maxBackoff)}
	r.state.probeUntil.Store(0)
	until := now.Add(duration * time.Duration(factor)).UnixNano()
	r.state.ejectedUntil.Store(until)
}

// evaluateProbe ends a probe and reports whether it passed. After probesToReadmit
// passed probes the replica is readmitted; a failed probe ejects it for longer.
// A probe that was cancelled before the first token counts as neither, unless it
// was already slow by then.
func (r *Replica) evaluateProbe(firstMedian, perMedian float64, o Observation) bool {
	slow := func(v, median float64) bool {
		return o.EjectRatio > 0 && median > 0 && v > o.EjectRatio*median && v-median > float64(minExcess)
	}
	h := &r.state.health
	firstToken := o.FirstToken
	if firstToken == 0 {
		firstToken = o.Total
	}
	if o.Failed || slow(float64(firstToken), firstMedian) || slow(float64(o.PerToken()), perMedian) {
		r.eject(o.Now, o.EjectDuration)
		return false
	}
	r.EndProbe()
	if o.Cancelled && o.FirstToken == 0 {
		return false
	}
	if h.passedProbes++; h.passedProbes >= probesToReadmit {
		*h = health{backoff: 1}
		r.state.ownerReport.baseline = r.state.ownerReport.latest
		r.state.ejectedUntil.Store(0)
	}
	return true
}
