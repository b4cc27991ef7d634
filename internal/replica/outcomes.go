package replica

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/monotime"
)

// Outcomes are the results of this node's runs at a replica since the node knows it.
type Outcomes struct {
	// Succeeded counts the runs that have brought an event or a whole response, and
	// Failed those that broke off or were answered with an error of the replica. A
	// stream that breaks off after its first event is in both.
	Succeeded, Failed int64
	// Unclear counts the runs that failed, perhaps by the fault of their request: it was
	// given up at its deadline without a response, or answered with an error again and
	// again.
	Unclear int64
	// NewestSuccess is when the last one sent of the successful runs was sent. It is
	// zero if there is none.
	NewestSuccess time.Time
}

// outcomes are the Outcomes of a replica, safe for concurrent use.
type outcomes struct {
	succeeded, failed, unclear atomic.Int64
	newestSuccess              monotime.AtomicTime
}

// ObserveSuccess counts a run that was sent at a time and has brought an event or a
// whole response.
func (r *Replica) ObserveSuccess(sent time.Time) {
	if !r.outcomes.newestSuccess.After(sent) {
		r.outcomes.newestSuccess.Set(sent)
	}
	r.outcomes.succeeded.Add(1)
	r.notify()
}

// ObserveFailure counts a run that failed by the fault of the replica, as far as this
// node can tell.
func (r *Replica) ObserveFailure() {
	r.outcomes.failed.Add(1)
	r.notify()
}

// ObserveUnclear counts a run that failed, perhaps by the fault of its request.
func (r *Replica) ObserveUnclear() {
	r.outcomes.unclear.Add(1)
	r.notify()
}

// Outcomes returns the results of this node's runs at the replica.
func (r *Replica) Outcomes() Outcomes {
	out := Outcomes{Failed: r.outcomes.failed.Load(), Succeeded: r.outcomes.succeeded.Load(), Unclear: r.outcomes.unclear.Load()}
	if at, ok := r.outcomes.newestSuccess.Get(); ok {
		out.NewestSuccess = at
	}
	return out
}
