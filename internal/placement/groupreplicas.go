package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// groupReplicas returns the replicas of a group that this node has not ejected, or
// all of them if it has ejected all. previous is the last such list, and newSince is since
// when those count as usable that are not in it.
func groupReplicas(previous []replicaSlots, g group, ready []*replica.Replica, now, newSince time.Time) []replicaSlots {
	usableSince := make(map[core.ReplicaID]time.Time, len(previous))
	for _, r := range previous {
		usableSince[r.id] = r.usableSince
	}
	out := make([]replicaSlots, 0, len(previous))
	add := func(r *replica.Replica) {
		info := r.Info()
		if groupOf(g.Service, info.ID, g.Count) != g {
			return
		}
		since, ok := usableSince[info.ID]
		if !ok {
			since = newSince
		}
		limit, _ := r.Limit()
		out = append(out, replicaSlots{id: info.ID, dc: info.DataCentre, version: info.Version, slots: max(1, info.Slots), limit: limit.Limit, started: info.Started, usableSince: since})
	}
	for _, r := range ready {
		if !r.Ejected(now) {
			add(r)
		}
	}
	if len(out) == 0 {
		for _, r := range ready {
			add(r)
		}
	}
	return out
}
