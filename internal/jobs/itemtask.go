package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
)

// itemTask is the execution state of an item that has no result yet.
type itemTask struct {
	job  *ownedJob
	item *Item
	// parts are the parts of the item's prompt that others may share. held is set
	// once it was logged that one of them is quarantined.
	parts []quarantine.Part
	held  bool
	// output is what was received so far, and begunAt the software that made it, or nil.
	output  itemOutput
	begunAt *replica.Software
	// lastEvent is the ID of the last event received, or forward.NoResume.
	lastEvent int64
	// runTime is the total time of the ended runs that delivered events. started is
	// the start of the present run, or zero.
	runTime time.Duration
	started time.Time
	// failures counts the runs that the replica answered with a failure.
	failures int
	// notBefore is the earliest time at which the item may be sent again.
	notBefore time.Time
	// newEvents is the number of events that the present run has received. progressAt
	// is when the last run ended that received any, and emptyRuns the number of runs in a
	// row that ended with errNoEvent.
	newEvents  int
	progressAt time.Time
	emptyRuns  int
	// stalls is the number of runs in a row that were given up without an event.
	stalls int
	// refusedBy is the replica that has not taken the item, or has failed it, in its last
	// run, and refusedAt when.
	refusedBy *replica.Replica
	refusedAt time.Time
	// crashes is the number of runs in a row that may have crashed their replica, see
	// suspect.go. crashed is set if the present run may have, and begun once it has
	// received an event.
	crashes int
	crashed bool
	begun   atomic.Bool
	// replica and cancel are set while the item runs. replica is nil once the run
	// has been chosen for preemption.
	replica *replica.Replica
	cancel  context.CancelCauseFunc
}

// totalRunTime returns the time of all runs, including the present one.
func (task *itemTask) totalRunTime() time.Duration {
	if task.started.IsZero() {
		return task.runTime
	}
	return task.runTime + time.Since(task.started)
}

// stallTimeout is how long the present run may wait for its first event.
func (task *itemTask) stallTimeout() time.Duration {
	return doubled(itemStallTimeout, task.stalls, maxItemStallTimeout)
}

// recordStall records the end of a run with a cause, or nil.
func (task *itemTask) recordStall(cause error) {
	switch {
	case task.newEvents > 0:
		task.stalls = 0
	case errors.Is(cause, errItemStalled):
		task.stalls++
	}
}

// runOutcome is the outcome of one run of an item.
type runOutcome int

const (
	// outcomeSucceeded: the output is complete.
	outcomeSucceeded runOutcome = iota
	// outcomeImpossible: the replica rejected the item for good.
	outcomeImpossible
	// outcomeFailed: the run failed at the replica.
	outcomeFailed
	// outcomeNotRun: the replica did not run the item.
	outcomeNotRun
	// outcomeDeclined: the replica answered with a status from which neither
	// success nor failure follows.
	outcomeDeclined
	// outcomeBroken: the stream was interrupted. The events received are kept.
	outcomeBroken
	// outcomePreempted: the run was preempted by online work. The events received
	// are kept.
	outcomePreempted
	// outcomeStopped: this node no longer executes the job, or the node is
	// stopping.
	outcomeStopped
)

func (o runOutcome) String() string {
	return [...]string{"succeeded", "impossible", "failed", "not_run", "declined", "broken", "preempted", "stopped"}[o]
}
