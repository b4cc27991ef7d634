package placement

import (
	"log/slog"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Replicas say in responses that they are leaving, or how many requests they take. Each
// node keeps the latest notice in its registry. Nodes tell their hub with their counts,
// and the hub tells the nodes with its totals, so that one response is enough for all
// nodes, also while the store is away, and a hub that takes over knows the notices.

// noticesInterval is the time after which known notices are sent again. The other side
// may have restarted, or the message was lost.
const noticesInterval = 300 * time.Millisecond

// knownNotices returns what the replicas of a group have said, as far as this node
// knows.
func knownNotices(registry *replica.Registry, g group, now time.Time) []replicaNotice {
	var out []replicaNotice
	for _, r := range registry.All() {
		limit, limitKnown := r.Limit()
		leaving := r.SaidLeaving()
		info := r.Info()
		if !limitKnown && !leaving || info.Service != g.Service || groupOf(g.Service, info.ID, g.Count) != g {
			continue
		}
		notice := replicaNotice{ID: info.ID, Started: info.Started, Leaving: leaving, LimitKnown: limitKnown}
		if limitKnown {
			notice.Limited, notice.PerSecond, notice.Age = limit.Named, limit.PerSecond, now.Sub(limit.At)
		}
		out = append(out, notice)
	}
	return out
}

// learnNotices records what another node knows. It reports whether that is news.
func learnNotices(registry *replica.Registry, notices []replicaNotice, from core.NodeID, now time.Time, log *slog.Logger) (news bool) {
	for _, n := range notices {
		r := registry.Get(n.ID)
		if r == nil || r.Info().Started != n.Started {
			continue
		}
		if n.Leaving && r.MarkLeaving(n.Started) {
			news = true
			log.Info("replica says that it is leaving", "node", from, "replica", n.ID)
		}
		state := replica.LimitState{Limit: replica.Limit{Named: n.Limited, PerSecond: n.PerSecond}, At: now.Add(-max(0, n.Age))}
		if n.LimitKnown && r.LearnLimit(state) {
			news = true
			log.Info("limit of a replica changed", "node", from, "replica", n.ID, "limited", n.Limited, "per_second", n.PerSecond)
		}
	}
	return news
}

// sentNotices are the notices that were last sent for a group.
type sentNotices struct {
	last   []replicaNotice
	sentAt time.Time
}

// upToDate reports whether the other side knows the notices. Their age does not matter.
func (s *sentNotices) upToDate(known []replicaNotice) bool {
	return slices.EqualFunc(known, s.last, func(a, b replicaNotice) bool {
		a.Age, b.Age = 0, 0
		return a == b
	})
}

// attach adds the notices to a message if they have changed or are due again.
func (s *sentNotices) attach(to *[]replicaNotice, known []replicaNotice, now time.Time) {
	if s.upToDate(known) && now.Sub(s.sentAt) < noticesInterval {
		return
	}
	*to, s.last, s.sentAt = known, known, now
}
