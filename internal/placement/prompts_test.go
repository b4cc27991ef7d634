package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/promptcache"
)

const (
	promptReplicas = 40
	promptSlots    = 8
	promptDuration = 9.0   // seconds, with two waves
	promptRate     = 280.0 // requests per second, mean
	promptRunTime  = 0.55  // seconds
	// promptReadRate is not what the hub assumes.
	promptReadRate  = 140.0 // tokens per ms
	promptFirstStep = 30.0  // ms until an engine begins its output
	ownTokens       = 250
)

// promptLoad is a pattern of prompts, and of what is wrong with the replicas.
type promptLoad struct {
	name string
	// parts is the number of different shared parts, and sharedTokens their length.
	// popular is the share of the requests that ask for the first of them.
	parts, sharedTokens int
	popular             float64
	waves               bool
	// slow is the share of the replicas that work at half the speed.
	slow float64
	// memory is the number of tokens that a replica holds.
	memory int
	// restartAt, if set, is when each fifth replica loses what it keeps, which the hub is
	// not told.
	restartAt float64
}

// promptResult is what callers and replicas saw.
type promptResult struct {
	shared, readAgain int // tokens
	first             []float64
	perReplica        map[core.ReplicaID]int
}

func (r *promptResult) quantile(q float64) float64 {
	slices.Sort(r.first)
	return r.first[int(float64(len(r.first)-1)*q)]
}

func (r *promptResult) keptShare() float64 { return 1 - float64(r.readAgain)/float64(r.shared) }

func (r *promptResult) busiest() float64 {
	most, sum := 0, 0
	for _, n := range r.perReplica {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * promptReplicas / float64(sum)
}

type promptPolicy int

const (
	placeByLoad promptPolicy = iota
	placeByHash              // the same replica for a part, unless it has 1.25 times the mean load
	placeByWeighing
)

// promptEngine is a replica that reads prompts one after the other.
type promptEngine struct {
	started   int64
	readUntil float64
	running   int
	// queue are the requests that found no free slot at the engine.
	queue []func()
}

// simulatePrompts places requests with shared prompts under one policy.
func simulatePrompts(load promptLoad, policy promptPolicy, seed uint64) *promptResult {
	sim := newSimulation(seed)
	s := newTestScheduler(promptReplicas, promptSlots)
	s.prompts.memory = load.memory
	epoch := time.Now()
	clock := func() time.Time { return epoch.Add(time.Duration(sim.now * 1e9)) }
	result := &promptResult{perReplica: make(map[core.ReplicaID]int)}
	engines, memory := make(map[core.ReplicaID]*promptEngine), promptcache.NewView()
	slowness, idHashes := make(map[core.ReplicaID]float64), make(map[core.ReplicaID]uint64)
	for i, r := range s.replicas {
		engines[r.id], slowness[r.id], idHashes[r.id] = &promptEngine{}, 1, xxhash.Sum64String(string(r.id))
		if float64(i) < load.slow*promptReplicas {
			slowness[r.id] = 2
		}
	}
	if load.restartAt > 0 {
		sim.schedule(load.restartAt, func() {
			for i, r := range s.replicas {
				if i%5 == 0 {
					engines[r.id].started++
				}
			}
		})
	}
	var sequence uint64
	// The work of each replica is reported by a node of its own.
	report := func(id core.ReplicaID, confirmed ...uint64) {
		sequence++
		s.receiveCounts("n0", &nodeCounts{RunID: 1, Sequence: sequence, ConfirmedGrants: confirmed}, clock())
		counts := replicaCounts{ID: id, Online: engines[id].running, Slowdown: int(slowness[id] * normalSlowdown)}
		s.receiveCounts(core.NodeID(id), &nodeCounts{RunID: 1, Sequence: sequence, Replicas: []replicaCounts{counts}}, clock())
	}
	var dispatch func()
	var start func(id core.ReplicaID, arrived float64, parts []promptcache.Part)
	start = func(id core.ReplicaID, arrived float64, parts []promptcache.Part) {
		e := engines[id]
		if e.running >= promptSlots {
			e.queue = append(e.queue, func() { start(id, arrived, parts) })
			return
		}
		e.running++
		result.perReplica[id]++
		p := promptcache.Process{Replica: id, Started: e.started}
		missing := promptcache.Tokens(parts) - memory.Match(p, parts)
		result.shared += load.sharedTokens
		result.readAgain += max(0, missing-ownTokens)
		memory.Sent(p, parts, load.memory-promptSlots*(load.sharedTokens+ownTokens))
		read := float64(missing) / promptReadRate * slowness[id] / 1e3
		e.readUntil = max(e.readUntil, sim.now) + read
		result.first = append(result.first, (e.readUntil-arrived)*1e3+promptFirstStep*slowness[id])
		sim.schedule(e.readUntil-sim.now+promptRunTime*slowness[id], func() {
			e.running--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
			report(id)
			dispatch()
		})
	}
	waiting := map[uint64]struct {
		arrived float64
		parts   []promptcache.Part
	}{}
	dispatch = func() {
		for _, a := range s.dispatch(clock()) {
			w := waiting[a.id]
			start(a.replica, w.arrived, w.parts)
			report(a.replica, a.grantID)
		}
	}
	byHash := func(parts []promptcache.Part) core.ReplicaID {
		total := 1
		for _, e := range engines {
			total += e.running
		}
		weight := func(id core.ReplicaID) uint64 {
			return (idHashes[id] ^ parts[0].Chain) * 0x9e3779b97f4a7c15 >> 20
		}
		order := slices.SortedFunc(maps.Keys(idHashes), func(a, b core.ReplicaID) int { return cmp.Compare(weight(a), weight(b)) })
		for _, id := range order {
			if float64(engines[id].running) < min(promptSlots, math.Ceil(1.25*float64(total)/promptReplicas)) {
				return id
			}
		}
		return order[0]
	}
	id := uint64(0)
	arrive := func() {
		id++
		part := 0
		if sim.rng.Float64() >= load.popular {
			part = sim.rng.IntN(load.parts)
		}
		parts := promptcache.Append(nil, fmt.Sprint("shared ", part), load.sharedTokens)
		parts = promptcache.Append(parts, fmt.Sprint("own ", id), ownTokens)
		if policy == placeByHash {
			start(byHash(parts), sim.now, parts)
			return
		}
		req := testRequest(id)
		req.Tokens = load.sharedTokens + ownTokens
		if policy == placeByWeighing {
			req.Prompt = parts
		}
		waiting[id] = struct {
			arrived float64
			parts   []promptcache.Part
		}{sim.now, parts}
		if answer, a := s.place("n0", req, clock()); a != nil {
			start(a.replica, sim.now, parts)
			report(a.replica, answer.GrantID)
		}
	}
	var loop func()
	loop = func() {
		if sim.now > promptDuration {
			return
		}
		arrive()
		rate := promptRate
		if load.waves {
			rate *= rateFactor(sim.now)
		}
		sim.schedule(sim.rng.ExpFloat64()/rate, loop)
	}
	sim.schedule(0, loop)
	sim.process()
	return result
}

// Loads: one part asked by a third of all, a thousand parts of equal weight, waves,
// uneven speeds, replicas whose memory is full, and restarts that the hub is not told of.
// Placement by what replicas keep must let them read fewer tokens again than placement by
// load does, and no caller may wait longer for it.
func TestPromptsAreReadLessOftenAndNobodyWaits(t *testing.T) {
	loads := []promptLoad{
		{name: "one part asked by a third", parts: 400, sharedTokens: 1000, popular: 0.33, memory: 147_000},
		{name: "a thousand parts of equal weight", parts: 1000, sharedTokens: 1000, memory: 147_000},
		{name: "short parts", parts: 1000, sharedTokens: 200, memory: 147_000},
		{name: "waves", parts: 400, sharedTokens: 1000, waves: true, memory: 147_000},
		{name: "uneven speeds", parts: 400, sharedTokens: 1000, slow: 0.25, memory: 147_000},
		{name: "full memory", parts: 400, sharedTokens: 1000, memory: 40_000},
		{name: "unknown restarts", parts: 400, sharedTokens: 1000, memory: 147_000, restartAt: 4},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			byLoad, byHash, weighed := simulatePrompts(load, placeByLoad, 1), simulatePrompts(load, placeByHash, 1), simulatePrompts(load, placeByWeighing, 1)
			for _, p := range []struct {
				name string
				r    *promptResult
			}{{"load", byLoad}, {"hash", byHash}, {"weighed", weighed}} {
				t.Logf("%-8s kept %.2f, first event median %.1f ms, p99 %.1f ms, busiest %.2f", p.name, p.r.keptShare(), p.r.quantile(0.5), p.r.quantile(0.99), p.r.busiest())
			}
			g.Expect(weighed.readAgain).To(gomega.BeNumerically("<", byLoad.readAgain))
			g.Expect(weighed.quantile(0.5)).To(gomega.BeNumerically("<=", byLoad.quantile(0.5)))
			g.Expect(weighed.quantile(0.99)).To(gomega.BeNumerically("<=", 1.02*byLoad.quantile(0.99)))
			g.Expect(weighed.quantile(0.99)).To(gomega.BeNumerically("<=", byHash.quantile(0.99)))
		})
	}
}
