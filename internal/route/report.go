package route

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Report is the speed of a replica as its owner knows it from all nodes.
type Report struct {
	FirstToken   time.Duration
	PerToken     time.Duration
	Observations int
	// EjectRatio and EjectDuration are as in Observation.
	EjectRatio    float64
	EjectDuration time.Duration
	Now           time.Time
}

// shared is the owner's report of a replica.
type shared struct {
	firstToken metric
	perToken   metric
	// base is the owner's number of observations when the replica returned
	// from ejection. Earlier ones are no ground to eject it again.
	base int
	// latest is the number in the last report.
	latest int
}

// Learn takes over the report of a replica's owner. The owner has seen a slow
// replica often when this node has met it once.
func (r *Router) Learn(id core.ReplicaID, report Report) {
	if report.Observations < minObservations {
		return
	}
	t := r.table.Load()
	replica := t.replicas[id]
	if replica == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	replica.state.shared.take(report)
	if report.EjectRatio <= 0 || replica.state.ejectedUntil.Load() != 0 {
		return
	}
	group := t.group(replica.Info.Deployment)
	first, per := median(group, sharedFirstTokenOf), median(group, sharedPerTokenOf)
	s := &replica.state.shared
	slow := s.firstToken.slow(first, report.EjectRatio) || s.perToken.slow(per, report.EjectRatio)
	if slow && mayEject(group) {
		replica.eject(report.Now, report.EjectDuration)
	}
}

func (s *shared) take(report Report) {
	if report.Observations < s.latest {
		s.base = 0 // a new owner counts from zero
	}
	s.latest = report.Observations
	count := report.Observations - s.base
	s.firstToken = metric{value: float64(report.FirstToken), count: count}
	s.perToken = metric{value: float64(report.PerToken), count: count}
}

func sharedFirstTokenOf(r *Replica) *metric { return &r.state.shared.firstToken }
func sharedPerTokenOf(r *Replica) *metric   { return &r.state.shared.perToken }
