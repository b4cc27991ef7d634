package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// table is an immutable index of the replicas. Those that may get work are in
// groups.
type table struct {
	groups   map[core.DeploymentID]*replicaGroup
	replicas map[core.ReplicaID]*Replica
}

// replicaGroup contains the usable replicas of one deployment in this node's
// region.
type replicaGroup struct {
	local  []*Replica // in this node's data centre
	remote []*Replica // in other data centres of the region
}

// usableReplicas returns all usable replicas of a deployment.
func (t *table) usableReplicas(id core.DeploymentID) []*Replica {
	g := t.groups[id]
	if g == nil {
		return nil
	}
	return slices.Concat(g.local, g.remote)
}

// boundedLoadFactor times the mean load is the limit up to which prefix affinity
// is followed, as in consistent hashing with bounded loads.
const boundedLoadFactor = 1.25

// choose chooses a replica. Replicas of other data centres are candidates only if
// no local one is usable, or if all local ones are full and a remote one is not.
func (t *table) choose(q *Query) Choice {
	g := t.groups[q.Deployment]
	if g == nil {
		return Choice{}
	}
	local := summarise(g.local, q, false)
	if local.skippedEjected {
		if c := chooseProbe(g.local, q); c.Replica != nil {
			return c
		}
	}
	if local.usable > 0 && local.withFreeSlot > 0 {
		return Choice{Replica: pick(g.local, q, local)}
	}
	remote := summarise(g.remote, q, false)
	if remote.usable > 0 && (local.usable == 0 || remote.withFreeSlot > 0) {
		remote.affine = nil
		return Choice{Replica: pick(g.remote, q, remote)}
	}
	if local.usable > 0 {
		return Choice{Replica: pick(g.local, q, local)}
	}
	return chooseEjected(g, q)
}

// chooseEjected chooses an ejected replica. It is used if no other replica is
// usable, because a slow replica is better than none.
func chooseEjected(g *replicaGroup, q *Query) Choice {
	for _, replicas := range [2][]*Replica{g.local, g.remote} {
		if s := summarise(replicas, q, true); s.usable > 0 {
			return Choice{Replica: pick(replicas, q, s)}
		}
	}
	return Choice{}
}

// candidateStats is the result of one pass over the candidates.
type candidateStats struct {
	usable           int
	withFreeSlot     int
	load             int64
	slots            int64
	affine           *Replica
	includeEjected   bool // ejected replicas are usable
	onlyWithFreeSlot bool // only replicas with a free slot are usable
	skippedEjected   bool // an ejected replica was skipped
}

// summarise counts the usable replicas and their load and finds the replica with
// prefix affinity, by rendezvous hashing.
func summarise(replicas []*Replica, q *Query, includeEjected bool) candidateStats {
	s := candidateStats{includeEjected: includeEjected}
	var best uint64
	for _, r := range replicas {
		if !includeEjected && r.state.ejectedUntil.Load() != 0 {
			s.skippedEjected = true
			continue
		}
		if excluded(r, q) {
			continue
		}
		load := r.load(q.Class)
		s.usable++
		s.slots += int64(r.Slots)
		s.load += load
		if r.HasFreeSlot(q.Class) {
			s.withFreeSlot++
		}
		if q.PrefixHash == 0 {
			continue
		}
		if w := mix(r.hash ^ q.PrefixHash); s.affine == nil || w > best {
			s.affine, best = r, w
		}
	}
	return s
}

// pick returns the replica with prefix affinity if it has a free slot and its
// load is within the bound, otherwise the less loaded of two random candidates.
// If some replicas have a free slot, only these are candidates, because two
// random replicas are often both full at high load.
func pick(replicas []*Replica, q *Query, s candidateStats) *Replica {
	if s.affine != nil && s.affine.HasFreeSlot(q.Class) && withinBound(s.affine, q.Class, s) {
		return s.affine
	}
	if s.withFreeSlot > 0 {
		s.usable, s.onlyWithFreeSlot = s.withFreeSlot, true
	}
	random := q.Random
	a := randomUsable(replicas, q, s, &random)
	if s.usable == 1 {
		return a
	}
	b := randomUsable(replicas, q, s, &random)
	for tries := 0; b == a && tries < maxDraws; tries++ {
		b = randomUsable(replicas, q, s, &random)
	}
	if b == a {
		b = otherUsable(replicas, q, s, a)
	}
	if lessLoaded(b, a, q.Class) {
		return b
	}
	return a
}

// maxDraws is the maximum number of random draws to find a usable replica.
const maxDraws = 8

// randomUsable returns a random usable replica. All have the same probability if
// one of maxDraws draws hits a usable replica; otherwise it draws an index among
// the usable ones.
func randomUsable(replicas []*Replica, q *Query, s candidateStats, random *uint64) *Replica {
	for range maxDraws {
		*random += 0x9E3779B97F4A7C15
		r := replicas[int(uint32(mix(*random)))%len(replicas)]
		if usable(r, q, s) {
			return r
		}
	}
	*random += 0x9E3779B97F4A7C15
	return nthUsable(replicas, q, s, int(uint32(mix(*random)))%s.usable)
}

// withinBound reports whether the replica's load is below boundedLoadFactor times
// the mean load for its number of slots, plus one.
func withinBound(r *Replica, class core.Class, s candidateStats) bool {
	mean := float64(s.load) * float64(r.Slots) / float64(max(1, s.slots))
	return float64(r.load(class)) < boundedLoadFactor*mean+1
}

// lessLoaded reports whether a has less load per slot than b. If they are equal,
// the replica with less batch work per slot counts as less loaded, so that online
// work preempts fewer batch items.
func lessLoaded(a, b *Replica, class core.Class) bool {
	x, y := a.load(class)*int64(b.Slots), b.load(class)*int64(a.Slots)
	if x != y {
		return x < y
	}
	return a.state.batch.Load()*int64(b.Slots) < b.state.batch.Load()*int64(a.Slots)
}

// load returns the estimated load that competes with work of the class.
func (r *Replica) load(class core.Class) int64 {
	load := r.state.online.Load()
	if class != core.ClassOnline {
		load += r.state.batch.Load()
	}
	return load
}

// nthUsable returns the usable replica with index n. Loads and ejections may have
// changed since summarise; if fewer are usable now, it returns the last usable
// replica, or else any that is not excluded.
func nthUsable(replicas []*Replica, q *Query, s candidateStats, n int) *Replica {
	var last *Replica
	for _, r := range replicas {
		if !usable(r, q, s) {
			continue
		}
		if last = r; n == 0 {
			return r
		}
		n--
	}
	if last == nil {
		return otherUsable(replicas, q, candidateStats{includeEjected: true}, nil)
	}
	return last
}

// otherUsable returns the first usable replica other than r, or r if there is
// none.
func otherUsable(replicas []*Replica, q *Query, s candidateStats, r *Replica) *Replica {
	for _, other := range replicas {
		if other != r && usable(other, q, s) {
			return other
		}
	}
	return r
}

func usable(r *Replica, q *Query, s candidateStats) bool {
	return (s.includeEjected || r.state.ejectedUntil.Load() == 0) && (!s.onlyWithFreeSlot || r.HasFreeSlot(q.Class)) && !excluded(r, q)
}

func excluded(r *Replica, q *Query) bool {
	return len(q.Exclude) != 0 && slices.Contains(q.Exclude, r.Info.ID)
}

// chooseProbe returns an ejected replica whose ejection time is over, if no other
// probe of it is in flight. For the first onlineProbeDelay after that time only
// batch work is used as a probe.
func chooseProbe(replicas []*Replica, q *Query) Choice {
	now := q.Now.UnixNano()
	for _, r := range replicas {
		until := r.state.ejectedUntil.Load()
		if until == 0 || now < until || !r.HasFreeSlot(q.Class) || excluded(r, q) {
			continue
		}
		if q.Class == core.ClassOnline && now < until+int64(onlineProbeDelay) {
			continue
		}
		if r.claimProbe(now) {
			return Choice{Replica: r, Probe: true}
		}
	}
	return Choice{}
}

func hashID(id core.ReplicaID) uint64 {
	return xxhash.Sum64String(string(id)) * 0x9E3779B97F4A7C15
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
