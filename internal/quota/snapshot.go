package quota

import (
	"cmp"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Use is the use of an organisation's limit in this node's data centre, as far as this
// node keeps its ledger.
type Use struct {
	Org core.Org `json:"organisation"`
	// PerSecond and Burst are the limit over all nodes.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// Share is what the ledger may lease, and Use what it has leased in the last window,
	// in requests a second.
	Share float64 `json:"share"`
	Use   float64 `json:"use"`
	// Left is what can be leased at once.
	Left    float64     `json:"left"`
	Refused int64       `json:"refused"`
	Owner   core.NodeID `json:"owner"`
}

// Snapshot returns the ledgers that this node keeps, by the name of the organisation.
func (s *Service) Snapshot() []Use {
	now := time.Now()
	s.mu.Lock()
	owned := make([]*ownedLedger, 0, len(s.ledgers))
	for _, o := range s.ledgers {
		owned = append(owned, o)
	}
	s.mu.Unlock()
	out := make([]Use, 0, len(owned))
	for _, o := range owned {
		o.mu.Lock()
		l := o.ledger
		out = append(out, Use{
			Org: o.org, PerSecond: l.limit.PerSecond, Burst: l.limit.Burst, Share: l.right.perSecond(l.limit),
			Use: l.Use(now), Left: l.available(), Refused: o.refused, Owner: s.Messenger.Self(),
		})
		o.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Use) int { return cmp.Compare(a.Org, b.Org) })
	return out
}
