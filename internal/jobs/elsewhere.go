package jobs

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
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

// avoids returns the replica that an item must not go to now, or none: if no other replica
// that the item may go to takes work, it goes to the same one again. The caller holds the
// lock.
func (r *Runner) avoids(task *itemTask, route *routetable.Route, now time.Time) []core.ReplicaID {
	by := task.refusedBy
	if by == nil || now.Sub(task.refusedAt) >= elsewhereTime {
		return nil
	}
	others := r.registry.Ready(by.Info().Service)
	if !slices.ContainsFunc(others, func(other *replica.Replica) bool {
		return other != by && r.mayRunAt(task, route, other.Info().Software(), now)
	}) {
		return nil
	}
	return []core.ReplicaID{by.Info().ID}
}
