package route

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Report is the latency of a replica that its owner computed from the
// observations of all nodes.
type Report struct {
	FirstToken   time.Duration
	PerToken     time.Duration
	Observations int
	// EjectRatio and EjectDuration are as in Observation.
	EjectRatio    float64
	EjectDuration time.Duration
	Now           time.Time
}

// ownerReport holds the last report of a replica's owner.
type ownerReport struct {
	firstToken movingAverage
	perToken   movingAverage
	// baseline is the owner's number of observations when the replica was
	// readmitted. Earlier observations must not eject it again.
	baseline int
	// latest is the number of observations in the last report.
	latest int
}

// ApplyReport records the report of a replica's owner and ejects the replica if
// it is slow. The owner, which gets the observations of all nodes, detects a slow
// replica sooner than this node does by its own.
func (r *Router) ApplyReport(id core.ReplicaID, report Report) {
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
	replica.state.ownerReport.update(report)
	if report.EjectRatio <= 0 || replica.state.ejectedUntil.Load() != 0 {
		return
	}
	group := t.usableReplicas(replica.Info.Deployment)
	firstMedian, perMedian := median(group, ownerFirstTokenOf), median(group, ownerPerTokenOf)
	s := &replica.state.ownerReport
	slow := s.firstToken.isSlow(firstMedian, report.EjectRatio) || s.perToken.isSlow(perMedian, report.EjectRatio)
	if slow && mayEject(group) {
		replica.eject(report.Now, report.EjectDuration)
	}
}

func (s *ownerReport) update(report Report) {
	if report.Observations < s.latest {
		s.baseline = 0 // a new owner counts from zero
	}
	s.latest = report.Observations
	count := report.Observations - s.baseline
	s.firstToken = movingAverage{value: float64(report.FirstToken), count: count}
	s.perToken = movingAverage{value: float64(report.PerToken), count: count}
}

func ownerFirstTokenOf(r *Replica) *movingAverage { return &r.state.ownerReport.firstToken }
func ownerPerTokenOf(r *Replica) *movingAverage   { return &r.state.ownerReport.perToken }
