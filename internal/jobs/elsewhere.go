package jobs

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// goesElsewhere reports whether an item that starts at a replica is sent to another one
// after the shortest stall timeout, as it is due before a longer one would let it
// complete and a replica may take it that has not been tried. The caller holds the lock.
func (r *Runner) goesElsewhere(task *itemTask, route *routetable.Route, target *replica.Replica, now time.Time) bool {
	clock, _ := r.clock()
	longest := task.silence.timeout(false)
	if longest == itemStallTimeout || !r.meanTokenTime.canMeetDue(task, clock) || r.meanTokenTime.canMeetDue(task, clock+longest) {
		return false
	}
	return slices.ContainsFunc(route.Backends, func(b routetable.Backend) bool {
		return slices.ContainsFunc(r.registry.Ready(b.Service), func(other *replica.Replica) bool {
			info := other.Info()
			return other != target && !other.Ejected(now) && !task.silence.hasTried(info.ID) && r.mayRunAt(task, route, info.Software(), now)
		})
	})
}
