package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// reachSamples is the number of replicas that are tried to find out whether a data
	// centre can be reached. One alone may have crashed.
	reachSamples = 3
	// reachTimeout bounds each of these connections. They take a few ms between data
	// centres, and some tens of ms on a busy small VM.
	reachTimeout = 100 * time.Millisecond
)

// CheckReach finds out by new connections whether this node reaches a data centre, and
// marks its replicas as unreachable if no machine there answers. A node that lost contact
// with another one in that data centre calls it before its requests are lost there one
// after the other. It returns the replicas that it marked.
func (g *Registry) CheckReach(ctx context.Context, dc core.DataCentre) []*Replica {
	var all []*Replica
	for _, r := range g.All() {
		if r.Info().DataCentre == dc && !r.unreachable.Load() {
			all = append(all, r)
		}
	}
	if len(all) < reachSamples {
		return nil
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	var silent atomic.Int32
	var wait sync.WaitGroup
	for _, r := range all[:reachSamples] {
		wait.Go(func() {
			if r.Connect(ctx) == Silent {
				silent.Add(1)
			}
		})
	}
	wait.Wait()
	if silent.Load() < reachSamples {
		return nil
	}
	now := time.Now()
	var found []*Replica
	for _, r := range all {
		if lastRead, ok := r.lastRead.Get(); ok && now.Sub(lastRead) < reachTimeout || r.unreachable.Load() {
			continue
		}
		r.MarkUnreachable(now)
		found = append(found, r)
	}
	return found
}

// ProbeSoon probes unreachable replicas of a data centre at once, as a message has come
// from there. The first that answers makes the probes of the others due.
func (g *Registry) ProbeSoon(dc core.DataCentre) {
	started := 0
	for _, r := range g.All() {
		if started == reachSamples {
			return
		}
		if r.unreachable.Load() && r.Info().DataCentre == dc && r.probing.CompareAndSwap(false, true) {
			started++
			go g.probe(r)
		}
	}
}

// HasReachable reports whether any other replica of a replica's data centre counts as
// reachable.
func (g *Registry) HasReachable(r *Replica) bool {
	return slices.ContainsFunc(g.All(), func(other *Replica) bool {
		return other != r && other.Info().DataCentre == r.Info().DataCentre && !other.unreachable.Load()
	})
}

// ReachesOthers tries some other replicas of a replica's data centre. It returns how many
// can be reached of those that it tried.
func (g *Registry) ReachesOthers(ctx context.Context, r *Replica) (reached, tried int) {
	var others []*Replica
	for _, other := range g.All() {
		if other != r && other.Info().DataCentre == r.Info().DataCentre {
			others = append(others, other)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), reachSamples)]
	var open atomic.Int32
	var wait sync.WaitGroup
	for _, other := range others {
		wait.Go(func() {
			if time.Since(other.LastHeard()) < stallTimeout || other.Connect(ctx) == Open {
				open.Add(1)
			}
		})
	}
	wait.Wait()
	return int(open.Load()), len(others)
}
