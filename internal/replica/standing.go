package replica

import "time"

// standingTTL is how long a standing counts after it was learned. Hubs send their
// totals several times a second; without a hub, the node's own failures count.
const standingTTL = 2 * time.Second

// Standing is what all nodes together know of the results of runs at a replica.
type Standing struct {
	// OnProbation is set while the last runs at the replica have failed. It gets one
	// request at a time, from its hub.
	OnProbation bool
	// FailedShare is the part of the recent runs that failed, from 0 to 1.
	FailedShare float64
	// At is when the standing was learned.
	At time.Time
}

// SetStanding records what the hub says of the replica.
func (r *Replica) SetStanding(s Standing) {
	if s.FailedShare == 0 && !s.OnProbation {
		if r.standing.Load() != nil {
			r.standing.Store(nil)
		}
		return
	}
	r.standing.Store(&s)
}

// presentStanding returns the standing if it still counts, else that of a sound replica.
func (r *Replica) presentStanding(now time.Time) Standing {
	if s := r.standing.Load(); s != nil && now.Sub(s.At) <= standingTTL {
		return *s
	}
	return Standing{}
}

// OnProbation reports whether the last runs of all nodes at the replica have failed.
func (r *Replica) OnProbation(now time.Time) bool { return r.presentStanding(now).OnProbation }

// avoided reports whether the replica gets requests without a hub only if all replicas
// are avoided.
func (r *Replica) avoided(now time.Time) bool {
	return r.Ejected(now) || r.OnProbation(now)
}
