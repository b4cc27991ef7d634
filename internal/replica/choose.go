package replica

import (
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// samples is the number of replicas compared for one request. More would
	// make nodes with the same stale view send to the same replica.
	samples = 4
	// sampleShare is the part of a large service's replicas that is compared: one
	// in four, so that some of the own data centre are among them.
	sampleShare = 4
	// RemoteCost is added, in requests, for a replica of another data centre:
	// bytes between data centres cost money, and ties should stay at home.
	RemoteCost = 0.3
)

// Query describes the work that needs a replica.
type Query struct {
	Service    core.DeploymentID
	DataCentre core.DataCentre
	Now        time.Time
	// Tried are the replicas that the work must not return to.
	Tried []core.ReplicaID
	// Room, if positive, is the number of free slots that a replica must have.
	Room int
}

// Choose returns a replica with little work, or nil. Replicas with recent
// failures are chosen only if there are no others.
func (g *Registry) Choose(q *Query) *Replica {
	ready := g.Ready(q.Service)
	if len(ready) == 0 {
		return nil
	}
	if r := q.least(ready, false); r != nil {
		return r
	}
	if q.Room > 0 {
		return nil
	}
	return q.least(ready, true)
}

// least compares up to the sample size of usable replicas, beginning at a
// random one.
func (q *Query) least(ready []*Replica, avoided bool) *Replica {
	var best *Replica
	var bestScore float64
	offset := rand.IntN(len(ready))
	step := coprimeStep(len(ready))
	limit := max(samples, len(ready)/sampleShare)
	if q.Room > 0 {
		limit = len(ready) // a free slot may be anywhere
	}
	for i, seen := 0, 0; i < len(ready) && seen < limit; i++ {
		r := ready[(offset+i*step)%len(ready)]
		if q.tried(r) || r.Avoided(q.Now) != avoided {
			continue
		}
		busy := r.Busy(q.Now)
		if q.Room > 0 && busy+float64(q.Room) > float64(r.Info().Slots) {
			continue
		}
		seen++
		if score := q.score(r, busy); best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// score is the relative time that the work would take at the replica.
func (q *Query) score(r *Replica, busy float64) float64 {
	info := r.Info()
	if info.DataCentre != q.DataCentre {
		busy += RemoteCost
	}
	return (busy + 1) / float64(max(1, info.Slots)) * r.Slowdown(q.Now)
}

func (q *Query) tried(r *Replica) bool {
	id := r.Info().ID
	for _, t := range q.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// coprimeStep returns a random step that visits all n places.
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
