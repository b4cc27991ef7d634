package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// inheritedLoadTTL is how long the load that the former hub knew last counts at a new
// one. It falls to zero over this time, as requests end, and nodes report their work to
// the new hub.
const inheritedLoadTTL = 800 * time.Millisecond

// inheritedLoad is the online work of all nodes by the totals of a former hub. A hub that
// takes over would otherwise take all slots for free until the nodes have reported.
type inheritedLoad struct {
	online map[core.ReplicaID]int
	at     time.Time
}

// inherit returns the load by the last totals that this node got, or none.
func inherit(f *formerTotals) inheritedLoad {
	if f == nil {
		return inheritedLoad{}
	}
	out := inheritedLoad{online: make(map[core.ReplicaID]int, len(f.replicas)), at: f.at}
	for _, rc := range f.replicas {
		out.online[rc.ID] = max(0, rc.Online)
	}
	return out
}

// takeOver begins with what the last totals of a former hub said, if there are any.
func (s *scheduler) takeOver(former *formerTotals, now time.Time) {
	s.inherited = inherit(former)
	s.outcomes.adopt(former.standingsAt(now), now)
}

// present returns the work at a replica that is likely to be left.
func (l *inheritedLoad) present(id core.ReplicaID, now time.Time) int {
	left := 1 - now.Sub(l.at).Seconds()/inheritedLoadTTL.Seconds()
	if left <= 0 {
		return 0
	}
	return int(float64(l.online[id]) * min(1, left))
}
