package placement

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/monotime"
)

// reachCheckInterval is the least time between two checks of whether a data centre can be
// reached. Many replicas stall at once when it is cut off.
const reachCheckInterval = 300 * time.Millisecond

// contactInterval is the least time between two rounds of probes after messages from a data
// centre. A cut may let some through.
const contactInterval = 200 * time.Millisecond

// contacts holds when each other data centre was last probed after a message from there.
type contacts struct{ probedAt sync.Map } // core.DataCentre to *monotime.AtomicTime

// due reports whether it is time to probe a data centre, and takes it for probed.
func (c *contacts) due(dc core.DataCentre, now time.Time) bool {
	stored, _ := c.probedAt.LoadOrStore(dc, &monotime.AtomicTime{})
	last := stored.(*monotime.AtomicTime)
	if last.After(now.Add(-contactInterval)) {
		return false
	}
	last.Set(now)
	return true
}

// recordContact probes the replicas of another data centre that were unreachable, if any,
// after a message from a node there: a cut may be over.
func (s *Service) recordContact(dc core.DataCentre, now time.Time) {
	if dc != s.Nodes.Self().DataCentre && s.contacts.due(dc, now) {
		s.Registry.ProbeSoon(dc)
	}
}

// dataCentreOf returns the data centre of a node, or the empty one.
func (s *Service) dataCentreOf(node core.NodeID) core.DataCentre {
	for _, record := range s.candidates.Load().records {
		if record.ID == node {
			return record.DataCentre
		}
	}
	return ""
}

// checkReach finds out whether another data centre can be reached, in the background, and
// ejects its replicas if not: requests would be lost there one after the other.
func (s *Service) checkReach(dc core.DataCentre) {
	if dc == "" || dc == s.Nodes.Self().DataCentre {
		return
	}
	now := time.Now()
	s.mu.Lock()
	due := now.Sub(s.reachCheckedAt[dc]) >= reachCheckInterval
	if due {
		s.reachCheckedAt[dc] = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	go func() {
		defer contain.Recover(s.Log, "check of data centre", string(dc))
		if marked := s.Registry.CheckReach(context.Background(), dc); len(marked) > 0 {
			s.Log.Info("data centre is unreachable", "data_centre", dc, "replicas", len(marked))
		}
	}()
}
