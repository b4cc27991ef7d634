package replica

import (
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// minSamples is the number of replicas of a small service that are compared
	// for one request. With a larger sample, nodes with the same stale view would
	// send to the same replica.
	minSamples = 4
	// sampleDivisor sets the sample size for a large service: one in four of its
	// replicas is compared, so that the sample has some of the node's own data
	// centre.
	sampleDivisor = 4
	// RemoteCost is added, in requests, to the load of a replica in another data
	// centre. Traffic between data centres costs money, so replicas with equal load
	// in the node's own data centre are preferred.
	RemoteCost = 0.3
)

// Query describes a request or an item of a job that needs a replica.
type Query struct {
	Service    core.DeploymentID
	DataCentre core.DataCentre
	Now        time.Time
	// Tried lists replicas that must not be chosen again.
	Tried []core.ReplicaID
	// Version, if set, is the version of the software that the replica must have.
	Version *core.SoftwareVersion
	// MinFreeSlots, if positive, is the least number of free slots that the
	// replica must have.
	MinFreeSlots int
	// MayUse, if set, reports whether the replica takes a request now.
	MayUse func(*Replica) bool
}

// Choose returns a replica with low load, or nil if there is none. Replicas that are
// ejected, or whose last runs failed by what all nodes know, are chosen only if there are no others and MinFreeSlots is not set.
func (g *Registry) Choose(q *Query) *Replica {
	ready := g.Ready(q.Service)
	if len(ready) == 0 {
		return nil
	}
	if r := q.leastLoaded(ready, false); r != nil {
		return r
	}
	if q.MinFreeSlots > 0 {
		return nil
	}
	return q.leastLoaded(ready, true)
}

// leastLoaded returns the replica with the lowest score in a random sample of
// the replicas that match the query, or nil. It considers only the avoided
// replicas if avoided is set, else only the others.
func (q *Query) leastLoaded(ready []*Replica, avoided bool) *Replica {
	var best *Replica
	var bestScore float64
	offset := rand.IntN(len(ready))
	step := coprimeStep(len(ready))
	limit := max(minSamples, len(ready)/sampleDivisor)
	if q.MinFreeSlots > 0 {
		limit = len(ready) // only a few replicas may have free slots
	}
	for i, compared := 0, 0; i < len(ready) && compared < limit; i++ {
		r := ready[(offset+i*step)%len(ready)]
		if q.tried(r) || !r.Info().HasVersion(q.Version) || r.avoided(q.Now) != avoided || q.MayUse != nil && !q.MayUse(r) {
			continue
		}
		busy := r.EstimatedLoad(q.Now)
		if q.MinFreeSlots > 0 && busy+float64(q.MinFreeSlots) > float64(r.Info().Slots) {
			continue
		}
		compared++
		if score := q.score(r, busy); best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// score is the relative time that the work would take at the replica. Lower is
// better.
func (q *Query) score(r *Replica, busy float64) float64 {
	info := r.Info()
	if info.DataCentre != q.DataCentre {
		busy += RemoteCost
	}
	return (busy + 1) / float64(max(1, info.Slots)) * r.Slowdown(q.Now) * FailureCost(r.presentStanding(q.Now).FailedShare)
}

// failedRunCost is what a failed run costs, as a multiple of the time of a sound one: the
// request is run again elsewhere, or lost.
const failedRunCost = 4

// FailureCost returns the factor by which the expected time of a request grows at a
// replica at which a share of the runs fails.
func FailureCost(failedShare float64) float64 { return 1 + failedRunCost*failedShare }

func (q *Query) tried(r *Replica) bool {
	id := r.Info().ID
	for _, t := range q.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// coprimeStep returns a random step that is coprime to n, so that repeated steps
// modulo n visit all n indexes. It falls back to 1 after 8 draws.
func coprimeStep(n int) int {
	if n <= 2 {
		return 1
	}
	for range 8 {
		if step := 1 + rand.IntN(n-1); gcd(step, n) == 1 {
			return step
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
