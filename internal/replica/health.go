package replica

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// stallTimeout is the time without received bytes after which a replica with
	// open responses counts as unreachable. Events arrive every 30 ms, or every
	// 75 ms if the replica shares its machine with a busy one. Reading a long prompt
	// in between takes the replica tens of ms.
	stallTimeout = 300 * time.Millisecond
	// maxStalledShare is the fraction of a data centre's replicas in use above
	// which stalled ones make the whole data centre count as unreachable.
	maxStalledShare = 0.5
	// minStalled is the least number of stalled replicas for a data centre to
	// count as unreachable.
	minStalled = 2
	// probeInterval is the time between probes of an unreachable replica. It is
	// short because a failed probe costs one packet, while a data centre that has
	// recovered is idle capacity until a probe succeeds.
	probeInterval = time.Second
)

// stallScan is the result of one scan for stalled replicas. A replica is in use
// if it has open responses.
type stallScan struct {
	// inUse counts the replicas in use and stalled those of them that are stalled,
	// by data centre.
	inUse, stalled map[core.DataCentre]int
	replicas       []*Replica // the stalled ones
}

// scanStalled finds the replicas that are stalled: open responses but no bytes
// received within the stall timeout.
func (g *Registry) scanStalled(now time.Time) stallScan {
	s := stallScan{inUse: make(map[core.DataCentre]int), stalled: make(map[core.DataCentre]int)}
	for _, r := range g.All() {
		lastRead, ok := r.lastRead.Get()
		if !ok || r.openResponses.Load() <= 0 {
			continue
		}
		dc := r.Info().DataCentre
		s.inUse[dc]++
		if now.Sub(lastRead) >= stallTimeout {
			s.stalled[dc]++
			s.replicas = append(s.replicas, r)
		}
	}
	return s
}

// allStalled reports whether every replica in use is stalled. The cause is then
// this node itself, which was paused or has lost its network, and the scan says
// nothing about the replicas.
func (s *stallScan) allStalled() bool {
	inUse := 0
	for _, n := range s.inUse {
		inUse += n
	}
	return len(s.replicas) == inUse
}

// dataCentreStalled reports whether the data centre as a whole counts as
// unreachable.
func (s *stallScan) dataCentreStalled(dc core.DataCentre) bool {
	n := s.stalled[dc]
	return n >= minStalled && float64(n) > maxStalledShare*float64(s.inUse[dc])
}

// CheckHealth marks stalled replicas as unreachable, and also the other replicas
// of a data centre in which most of those in use are stalled. It returns the
// replicas that it marked. It starts a probe of each unreachable replica whose
// ejection time is over.
func (g *Registry) CheckHealth(now time.Time) []*Replica {
	var found []*Replica
	if s := g.scanStalled(now); len(s.replicas) > 0 && !s.allStalled() {
		for _, r := range s.replicas {
			if !r.unreachable.Load() {
				r.ObserveFailure()
				r.MarkUnreachable(now)
				found = append(found, r)
			}
		}
		for _, r := range g.All() {
			lastRead, ok := r.lastRead.Get()
			recent := ok && now.Sub(lastRead) < stallTimeout
			if s.dataCentreStalled(r.Info().DataCentre) && !recent && !r.unreachable.Load() {
				r.MarkUnreachable(now)
				found = append(found, r)
			}
		}
	}
	for _, r := range g.All() {
		if r.unreachable.Load() && !r.ejectedUntil.After(now) && r.probing.CompareAndSwap(false, true) {
			go g.probe(r)
		}
	}
	return found
}

// probe opens a connection to an unreachable replica. If that succeeds, the
// replica is usable again and the connection goes to the pool for the next
// request. The other unreachable replicas of the data centre may have recovered,
// too, so their probes become due at once.
func (g *Registry) probe(r *Replica) {
	defer r.probing.Store(false)
	c, err := dial(context.Background(), r.Info().Address)
	now := time.Now()
	if err != nil {
		r.failures.Add(1)
		r.ejectedUntil.Set(now.Add(probeInterval))
		return
	}
	r.pool.put(c, now)
	r.failures.Store(0)
	r.ejectedUntil.Clear()
	r.unreachable.Store(false)
	for _, other := range g.All() {
		if other.unreachable.Load() && other.Info().DataCentre == r.Info().DataCentre {
			other.ejectedUntil.Set(now)
		}
	}
}
