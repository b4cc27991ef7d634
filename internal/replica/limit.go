package replica

import "time"

// Limit is the request rate that a response names: how many requests a second its
// replica takes from all nodes together. A replica in need names one with each
// response.
type Limit struct {
	Named bool
	// PerSecond is the rate, or 0 if none is named.
	PerSecond float64
}

// LimitState is what is known of the limit of a replica.
type LimitState struct {
	Limit
	// At is when the limit was known to be in force, by the clock of this process.
	// Of two states the later one holds.
	At time.Time
}

// limitRefreshInterval is the least time between two states of the same limit. States
// are passed on with their age, and the time on the way makes them younger; without
// a least difference they would be passed on for ever.
const limitRefreshInterval = 200 * time.Millisecond

// Supersedes reports whether s replaces o.
func (s LimitState) Supersedes(o LimitState) bool {
	if s.Limit == o.Limit {
		return s.At.Sub(o.At) >= limitRefreshInterval
	}
	return s.At.After(o.At)
}

// ObserveLimit records the limit in a response to a request that was sent at a time.
// It reports whether the limit of the replica has changed. A response without a limit
// shows only that none was in force at some time after its request was sent: it may
// have been overtaken by one that names a limit.
func (r *Replica) ObserveLimit(l Limit, sent, now time.Time) (changed bool) {
	if !l.Named && r.limit.Load() == nil {
		return false
	}
	at := now
	if !l.Named {
		at = sent
	}
	return r.LearnLimit(LimitState{Limit: l, At: at})
}

// LearnLimit records what another node knows of the limit of the replica. It reports
// whether the limit has changed.
func (r *Replica) LearnLimit(s LimitState) (changed bool) {
	for {
		known := r.limit.Load()
		if known == nil && !s.Named || known != nil && !s.Supersedes(*known) {
			return false
		}
		if !r.limit.CompareAndSwap(known, &s) {
			continue
		}
		if known != nil && known.Limit == s.Limit {
			return false
		}
		r.notify()
		return true
	}
}

// Limit returns what is known of the limit of the replica. ok is false if it has named
// none since its start.
func (r *Replica) Limit() (s LimitState, ok bool) {
	if known := r.limit.Load(); known != nil {
		return *known, true
	}
	return LimitState{}, false
}
