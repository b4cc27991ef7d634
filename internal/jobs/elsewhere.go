package jobs

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// elsewhereTime is how long an item that a replica has not taken, or has failed, goes to
// other replicas of the service only. A replica may refuse an item each time, and has the
// most free slots while it does.
const elsewhereTime = 2 * time.Second

// recordRefusal records the replica of a run that ended, if it has not taken the item or
// has failed it.
func (task *itemTask) recordRefusal(outcome runOutcome, at *replica.Replica, now time.Time) {
	switch outcome {
	case outcomeFailed, outcomeNotRun, outcomeDeclined:
		task.refusedBy, task.refusedAt = at, now
	default:
		task.refusedBy = nil
	}
}

// avoids reports whether an item must not go to a replica now, as that was the last one to
// refuse it. If no other replica that the item may go to takes work, it goes there again.
// The caller holds the lock.
func (r *Runner) avoids(task *itemTask, route *routetable.Route, target *replica.Replica, now time.Time) bool {
	if target == nil || target != task.refusedBy || now.Sub(task.refusedAt) >= elsewhereTime {
		return false
	}
	return slices.ContainsFunc(r.registry.Ready(target.Info().Service), func(other *replica.Replica) bool {
		return other != target && r.mayRunAt(task, route, other.Info().Software(), now)
	})
}
