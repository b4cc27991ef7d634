package replica

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// initialHold is how long online work holds a slot until requests have told:
	// 25 events of 7 tokens at 4 ms each.
	initialHold = 700 * time.Millisecond
	// holdWeight is the weight of one request in the running mean.
	holdWeight = 0.05
	// evictionWait is the time until a slot of batch work that gives way is
	// free: a message to another node, a closed connection and a step.
	evictionWait = 20 * time.Millisecond
)

// Held records how long a served request held its slot.
func (g *Registry) Held(service core.DeploymentID, took time.Duration) {
	mean := g.Hold(service)
	mean = time.Duration((1-holdWeight)*float64(mean) + holdWeight*float64(took))
	g.holds.Store(service, mean)
}

// Hold returns the mean time for which online work of a service holds a slot.
func (g *Registry) Hold(service core.DeploymentID) time.Duration {
	if mean, ok := g.holds.Load(service); ok {
		return mean.(time.Duration)
	}
	return initialHold
}

// OnlineWait estimates how long new online work waits for a slot of a replica.
// Batch work there gives way; other online work is served in its order, each
// slot for the mean hold time.
func OnlineWait(online, batch, slots int, hold time.Duration, slowdown float64) time.Duration {
	switch {
	case online+batch < slots:
		return 0
	case online < slots:
		return evictionWait
	}
	ahead := online - slots + 1
	return time.Duration(float64(hold) * slowdown * float64(ahead) / float64(max(1, slots)))
}

// OnlineWait estimates how long new online work would wait at the replica.
func (r *Replica) OnlineWait(now time.Time, hold time.Duration) time.Duration {
	online, batch := r.Work(now)
	return OnlineWait(online, batch, r.Info().Slots, hold, r.Slowdown(now))
}

// Work estimates the online and batch work at the replica from all nodes. Work
// of other nodes that only a load report shows counts as online.
func (r *Replica) Work(now time.Time) (online, batch int) {
	online, batch = r.Own()
	others := int(r.others(now))
	othersBatch := 0
	if s := r.shared.Load(); s != nil && now.Sub(s.at) < sharedFresh {
		othersBatch = min(s.batch, others)
	}
	return online + others - othersBatch, batch + othersBatch
}
