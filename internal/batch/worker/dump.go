package worker

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// RangeDump describes an open range in a Dump.
type RangeDump struct {
	Job       core.JobID
	Range     string
	Epoch     uint64
	Unstarted int
	Delayed   int
	Running   int
	Finished  int
	Bytes     int64
	Since     time.Time
	Writing   bool
	Unusable  bool
}

// Dump is a snapshot of the state of a worker for operators.
type Dump struct {
	Session  string
	Lease    string
	Ranges   []RangeDump
	Claiming int
	Running  int
	Buffered int64
	Sources  []core.NodeID
	Stopping bool
}

// Dump returns the state of the worker.
func (w *Worker) Dump() Dump {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Dump{
		Lease: "none", Claiming: w.pendingClaims, Running: w.running, Buffered: w.buffered,
		Sources: append([]core.NodeID(nil), w.coordinators...), Stopping: w.stopping,
	}
	if s := w.p.Leases.Current(); s != nil {
		d.Session, d.Lease = s.ID, s.State().String()
	}
	for _, r := range w.ranges {
		d.Ranges = append(d.Ranges, RangeDump{
			Job: r.job.ID, Range: r.id, Epoch: r.row.Epoch, Unstarted: len(r.unstarted), Delayed: r.delayed,
			Running: r.running, Finished: r.finished, Bytes: r.buffered, Since: r.claimedAt, Writing: r.writing, Unusable: r.unreadable,
		})
	}
	return d
}
