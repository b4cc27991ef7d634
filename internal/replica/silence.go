package replica

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// silentAfter is the silence after which a replica with answers under way
	// counts as unreachable. Events come every 30 ms, every 75 ms beside a busy
	// neighbour; a long prompt that is read meanwhile takes tens of ms.
	silentAfter = 300 * time.Millisecond
	// silentShare is the share of a data centre's replicas in use that must be
	// silent for all of it to count as unreachable.
	silentShare = 0.5
	// silentMin is the least number of silent replicas for that.
	silentMin = 2
	// tryPause is the time between trials of an unreachable replica. One that
	// fails costs a packet, and a data centre that is back is missed at once.
	tryPause = time.Second
)

// silence is what one look at the replicas shows.
type silence struct {
	// inUse and silent count replicas with answers under way, by data centre.
	inUse, silent map[core.DataCentre]int
	replicas      []*Replica
}

// look finds the replicas that are silent.
func (g *Registry) look(now time.Time) silence {
	s := silence{inUse: make(map[core.DataCentre]int), silent: make(map[core.DataCentre]int)}
	for _, r := range g.All() {
		heard, ok := r.heard.Get()
		if !ok || r.answering.Load() <= 0 {
			continue
		}
		dc := r.Info().DataCentre
		s.inUse[dc]++
		if now.Sub(heard) >= silentAfter {
			s.silent[dc]++
			s.replicas = append(s.replicas, r)
		}
	}
	return s
}

// all reports whether every replica in use is silent: then this node itself
// stood still or is cut off, and nothing is learnt of the replicas.
func (s *silence) all() bool {
	inUse := 0
	for _, n := range s.inUse {
		inUse += n
	}
	return len(s.replicas) == inUse
}

// gone reports whether a data centre as a whole cannot be reached.
func (s *silence) gone(dc core.DataCentre) bool {
	n := s.silent[dc]
	return n >= silentMin && float64(n) > silentShare*float64(s.inUse[dc])
}

// Review avoids replicas that went silent in the middle of answers, and the
// other replicas of a data centre where most did. It returns those that are
// newly found, and opens connections to replicas whose avoidance is over.
func (g *Registry) Review(now time.Time) []*Replica {
	var found []*Replica
	if s := g.look(now); len(s.replicas) > 0 && !s.all() {
		for _, r := range s.replicas {
			if !r.unreachable.Load() {
				r.Unreachable(now)
				found = append(found, r)
			}
		}
		for _, r := range g.All() {
			heard, ok := r.heard.Get()
			recent := ok && now.Sub(heard) < silentAfter
			if s.gone(r.Info().DataCentre) && !recent && !r.unreachable.Load() {
				r.Unreachable(now)
				found = append(found, r)
			}
		}
	}
	for _, r := range g.All() {
		if r.unreachable.Load() && !r.avoidedUntil.After(now) && r.trying.CompareAndSwap(false, true) {
			go g.try(r)
		}
	}
	return found
}

// try opens a connection to an unreachable replica. One that opens is kept for
// the next request, so that the trial costs no more than that request would. It
// is a sign that the rest of the data centre may be back, too.
func (g *Registry) try(r *Replica) {
	defer r.trying.Store(false)
	c, err := dial(context.Background(), r.Info().Address)
	now := time.Now()
	if err != nil {
		r.failures.Add(1)
		r.avoidedUntil.Set(now.Add(tryPause))
		return
	}
	r.pool.put(c, now)
	r.failures.Store(0)
	r.avoidedUntil.Clear()
	r.unreachable.Store(false)
	for _, other := range g.All() {
		if other.unreachable.Load() && other.Info().DataCentre == r.Info().DataCentre {
			other.avoidedUntil.Set(now)
		}
	}
}
