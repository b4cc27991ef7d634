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
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	silent, _ := countSample(all, func(r *Replica) bool { return r.Connect(ctx) == Silent })
	if silent < reachSamples {
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
	return countSample(others, func(other *Replica) bool {
		return time.Since(other.LastHeard()) < stallTimeout || other.Connect(ctx) == Open
	})
}

// countSample checks up to reachSamples of some replicas at the same time. It returns how
// many passed, and how many were checked.
func countSample(replicas []*Replica, check func(*Replica) bool) (passed, checked int) {
	sample := slices.Clone(replicas)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(len(sample), reachSamples)]
	var count atomic.Int32
	var wait sync.WaitGroup
	for _, r := range sample {
		wait.Go(func() {
			if check(r) {
				count.Add(1)
			}
		})
	}
	wait.Wait()
	return int(count.Load()), len(sample)
}
