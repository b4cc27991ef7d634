package placement

import (
	"log/slog"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Each node keeps the latest known limit of each replica in its registry. Nodes tell
// their hub with their counts, and the hub tells the nodes with its totals, so that one
// response is enough for all nodes, and a hub that takes over knows the limits.

// limitsInterval is the time after which known limits are sent again. The other side
// may have restarted, or the message was lost.
const limitsInterval = 300 * time.Millisecond

// knownLimits returns what the registry holds of the limits of a group's replicas.
func knownLimits(registry *replica.Registry, g group, now time.Time) []replicaLimit {
	var out []replicaLimit
	for _, r := range registry.All() {
		state, ok := r.Limit()
		if !ok || r.Info().Service != g.Service || groupOf(g.Service, r.Info().ID, g.Count) != g {
			continue
		}
		out = append(out, replicaLimit{ID: r.Info().ID, Named: state.Named, PerSecond: state.PerSecond, Age: now.Sub(state.At)})
	}
	return out
}

// learnLimits records what another node knows of the limits of replicas.
func learnLimits(registry *replica.Registry, limits []replicaLimit, from core.NodeID, now time.Time, log *slog.Logger) {
	for _, l := range limits {
		r := registry.Get(l.ID)
		if r == nil {
			continue
		}
		state := replica.LimitState{Limit: replica.Limit{Named: l.Named, PerSecond: l.PerSecond}, At: now.Add(-max(0, l.Age))}
		if r.LearnLimit(state) {
			log.Info("limit of a replica changed", "node", from, "replica", l.ID, "limited", l.Named, "per_second", l.PerSecond)
		}
	}
}

// sentLimits is what was last sent of the limits of a group.
type sentLimits struct {
	last   []replicaLimit
	sentAt time.Time
}

func (s *sentLimits) upToDate(known []replicaLimit) bool {
	return slices.EqualFunc(known, s.last, func(a, b replicaLimit) bool {
		return a.ID == b.ID && a.Named == b.Named && a.PerSecond == b.PerSecond
	})
}

// attach adds the limits to a message if they have changed or are due again.
func (s *sentLimits) attach(to *[]replicaLimit, known []replicaLimit, now time.Time) {
	if s.upToDate(known) && now.Sub(s.sentAt) < limitsInterval {
		return
	}
	*to, s.last, s.sentAt = known, known, now
}
