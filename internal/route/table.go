package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// table is an immutable index of the replicas that may get work.
type table struct {
	groups   map[core.DeploymentID]*group
	replicas map[core.ReplicaID]*Replica
}

// group is the replicas of one deployment that are up.
type group struct {
	local  []*Replica // own data centre
	remote []*Replica // other data centres of the region
}

// group returns all usable replicas of a deployment.
func (t *table) group(id core.DeploymentID) []*Replica {
	g := t.groups[id]
	if g == nil {
		return nil
	}
	return slices.Concat(g.local, g.remote)
}

// boundedLoad is the factor of the mean load up to which prefix affinity holds.
const boundedLoad = 1.25

// choose picks a replica. Replicas of other data centres take part only if no
// local one is usable or all local ones are full and a remote one is not.
func (t *table) choose(q *Query) Choice {
	g := t.groups[q.Deployment]
	if g == nil {
		return Choice{}
	}
	local := survey(g.local, q, false)
	if local.hidden {
		if c := probe(g.local, q); c.Replica != nil {
			return c
		}
	}
	if local.usable > 0 && local.room > 0 {
		return Choice{Replica: pick(g.local, q, local)}
	}
	remote := survey(g.remote, q, false)
	if remote.usable > 0 && (local.usable == 0 || remote.room > 0) {
		remote.affine = nil
		return Choice{Replica: pick(g.remote, q, remote)}
	}
	if local.usable > 0 {
		return Choice{Replica: pick(g.local, q, local)}
	}
	return lastResort(g, q)
}

// lastResort chooses among ejected replicas when there are no others: a slow
// replica is better than none.
func lastResort(g *group, q *Query) Choice {
	for _, replicas := range [2][]*Replica{g.local, g.remote} {
		if s := survey(replicas, q, true); s.usable > 0 {
			return Choice{Replica: pick(replicas, q, s)}
		}
	}
	return Choice{}
}

// totals is the result of one pass over candidates.
type totals struct {
	usable  int
	room    int
	load    int64
	slots   int64
	affine  *Replica
	ejected bool // ejected replicas are usable
	roomy   bool // only replicas with room are usable
	hidden  bool // an ejected replica was passed over
}

func survey(replicas []*Replica, q *Query, ejected bool) totals {
	s := totals{ejected: ejected}
	var best uint64
	for _, r := range replicas {
		if !ejected && r.state.ejectedUntil.Load() != 0 {
			s.hidden = true
			continue
		}
		if excluded(r, q) {
			continue
		}
		load := r.load(q.Class)
		s.usable++
		s.slots += int64(r.Slots)
		s.load += load
		if r.HasRoom(q.Class) {
			s.room++
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

// pick returns the affine replica while its load is bounded, otherwise the
// better of two random candidates. If some replicas have room, only these are
// candidates: two random ones are often both full at high load.
func pick(replicas []*Replica, q *Query, s totals) *Replica {
	if s.affine != nil && s.affine.HasRoom(q.Class) && withinBound(s.affine, q.Class, s) {
		return s.affine
	}
	if s.room > 0 {
		s.usable, s.roomy = s.room, true
	}
	random := q.Random
	a := draw(replicas, q, s, &random)
	if s.usable == 1 {
		return a
	}
	b := draw(replicas, q, s, &random)
	for tries := 0; b == a && tries < maxDraws; tries++ {
		b = draw(replicas, q, s, &random)
	}
	if b == a {
		b = another(replicas, q, s, a)
	}
	if less(b, a, q.Class) {
		return b
	}
	return a
}

// maxDraws bounds the tries to hit a usable replica at random.
const maxDraws = 8

// draw returns a random usable replica: each with the same probability, unless
// most of the replicas are not usable.
func draw(replicas []*Replica, q *Query, s totals, random *uint64) *Replica {
	for range maxDraws {
		*random += 0x9E3779B97F4A7C15
		r := replicas[int(uint32(mix(*random)))%len(replicas)]
		if usable(r, q, s) {
			return r
		}
	}
	*random += 0x9E3779B97F4A7C15
	return nth(replicas, q, s, int(uint32(mix(*random)))%s.usable)
}

// withinBound compares the replica's load with the mean load for its slots,
// times the factor, plus one.
func withinBound(r *Replica, class core.Class, s totals) bool {
	mean := float64(s.load) * float64(r.Slots) / float64(max(1, s.slots))
	return float64(r.load(class)) < boundedLoad*mean+1
}

// less orders by load per slot. Between equal ones for online work, that with
// less batch work goes first, so that fewer batch items are preempted.
func less(a, b *Replica, class core.Class) bool {
	x, y := a.load(class)*int64(b.Slots), b.load(class)*int64(a.Slots)
	if x != y {
		return x < y
	}
	return a.state.batch.Load()*int64(b.Slots) < b.state.batch.Load()*int64(a.Slots)
}

// load is the estimated load that competes with the class.
func (r *Replica) load(class core.Class) int64 {
	load := r.state.online.Load()
	if class != core.ClassOnline {
		load += r.state.batch.Load()
	}
	return load
}

// nth returns the usable replica of that rank. Loads and ejections may have
// changed since the survey; then it returns the last usable one, or else any
// that is not excluded.
func nth(replicas []*Replica, q *Query, s totals, n int) *Replica {
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
		return another(replicas, q, totals{ejected: true}, nil)
	}
	return last
}

// another returns the first usable replica other than r, or r.
func another(replicas []*Replica, q *Query, s totals, r *Replica) *Replica {
	for _, other := range replicas {
		if other != r && usable(other, q, s) {
			return other
		}
	}
	return r
}

func usable(r *Replica, q *Query, s totals) bool {
	return (s.ejected || r.state.ejectedUntil.Load() == 0) && (!s.roomy || r.HasRoom(q.Class)) && !excluded(r, q)
}

func excluded(r *Replica, q *Query) bool {
	return len(q.Exclude) != 0 && slices.Contains(q.Exclude, r.Info.ID)
}

// probe returns an ejected replica whose time is over, if no other test
// request is on its way to it. Batch work probes first; online work does so
// only when no batch work has come for as long again.
func probe(replicas []*Replica, q *Query) Choice {
	now := q.Now.UnixNano()
	for _, r := range replicas {
		until := r.state.ejectedUntil.Load()
		if until == 0 || now < until || !r.HasRoom(q.Class) || excluded(r, q) {
			continue
		}
		if q.Class == core.ClassOnline && now < until+int64(onlineProbeDelay) {
			continue
		}
		if r.beginProbe(now) {
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
