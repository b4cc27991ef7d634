package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// suspicionRetention is how long nodes remember a replica that fell silent. It is
	// longer than a restart of a node and a silenceWatch together.
	suspicionRetention = 15 * time.Second
	// maxSuspicions bounds the replicas that are remembered. More fall silent when a data
	// centre is cut off.
	maxSuspicions = 32
	// maxAnnouncedDark is the number of replicas that are dark at once for this node up to
	// which it tells other nodes of one.
	maxAnnouncedDark = 4
)

// processKey is a process of a replica on any node.
type processKey struct {
	replica core.ReplicaID
	started int64
}

// suspicion is a replica that fell silent for a node, with the runs there that may be the
// cause. It is no evidence until nodes have compared what they see.
type suspicion struct {
	countedCrash
	// watched is set once this node has watched the replica for the runs.
	watched bool
}

func (c *suspicion) key() processKey { return processKey{c.replica, c.started} }

// laterThan reports whether the replica answered after it fell silent at another time.
// Nodes notice one silence at different times.
func (c *suspicion) laterThan(at time.Time) bool { return c.at.Sub(at) > darkTime }

func (c *suspicion) clone() *suspicion {
	copied := *c.crash
	copied.runs = slices.Clone(c.runs)
	return &suspicion{countedCrash{&copied, c.service}, c.watched}
}

// suspicions are those of this node and of others.
type suspicions struct {
	mu   sync.Mutex
	open map[processKey]*suspicion
}

// add adds a suspicion, or its runs to a known one. It reports whether anything is new. A
// replica that fell silent again later is new.
func (s *suspicions) add(found *suspicion) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.open[found.key()]
	switch {
	case known == nil && len(s.open) >= maxSuspicions:
		return false
	case known == nil, found.laterThan(known.at):
		s.open[found.key()] = found.clone()
		return true
	}
	for _, run := range found.runs {
		news = known.addRun(run) || news
	}
	known.watched = known.watched && (found.watched || !news)
	return news
}

// latest returns copies of the suspicions of the last suspicionRetention, in the order of
// time, and forgets the others.
func (s *suspicions) latest(now time.Time) []*suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*suspicion
	for key, c := range s.open {
		if now.Sub(c.at) > suspicionRetention {
			delete(s.open, key)
			continue
		}
		out = append(out, c.clone())
	}
	slices.SortFunc(out, func(a, b *suspicion) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.replica, b.replica), cmp.Compare(a.started, b.started))
	})
	return out
}

// markWatched records that this node watches the replica of a suspicion.
func (s *suspicions) markWatched(key processKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.open[key]; c != nil {
		c.watched = true
	}
}
