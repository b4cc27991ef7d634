package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// minProbationPause is how long a replica gets no request after the second failure in
	// a row; each further one doubles it, up to maxProbationPause. After the first
	// one it may be tried at once, as the request may have been at fault.
	minProbationPause = 400 * time.Millisecond
	maxProbationPause = 1600 * time.Millisecond
	// companyPause takes the place of these pauses where most of a data centre failed. As
	// one request tries all of its replicas, it may be shorter.
	companyPause = 100 * time.Millisecond
	// probeResultTimeout is how long a request that was granted on probation keeps others
	// off if its result stays unknown. A first event takes some tens of ms.
	probeResultTimeout = time.Second
	// repeatableProbeGrace and onceProbeGrace are how much later than an item a request
	// tries a replica on probation: one that may be run again loses some time if that
	// fails, and one that may not is lost, so that it is only used where nothing else runs.
	repeatableProbeGrace = 50 * time.Millisecond
	onceProbeGrace       = time.Second
	// minCompany is the least number of replicas on probation of a data centre that counts
	// as a whole.
	minCompany = 3
)

// standing is what the runs of all nodes at a replica say of it.
type standing struct {
	// failedShare is the part of the recent runs that failed, if these are enough to tell.
	failedShare float64
	// doubtful is set if requests that may run once go elsewhere if they can.
	doubtful bool
	// onProbation is set while the last runs have failed: the replica gets one request at
	// a time, from probeAt on.
	onProbation bool
	probeAt     time.Time
}

// standingChange says that a replica has come on probation or has been released.
type standingChange struct {
	replica     core.ReplicaID
	onProbation bool
}

// probationPause is how long a replica gets no request after a number of failures in a
// row.
func probationPause(failuresInRow int) time.Duration {
	if failuresInRow < 2 {
		return 0
	}
	if failuresInRow > 8 { // a larger shift exceeds maxProbationPause anyway
		return maxProbationPause
	}
	return min(maxProbationPause, minProbationPause<<(failuresInRow-2))
}

// mayProbe reports whether a request may try a replica on probation.
func (s *standing) mayProbe(q *queuedRequest, now time.Time) bool {
	grace := onceProbeGrace
	switch {
	case q.batch:
		grace = 0
	case q.repeatable && !q.urgent:
		grace = repeatableProbeGrace
	}
	return !now.Before(s.probeAt.Add(grace))
}
