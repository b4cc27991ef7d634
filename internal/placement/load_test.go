package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// The load of the busiest days of large deployments: 60 replicas of 7 slots,
// with an arrival rate that steps every few seconds between a third of its mean
// and almost twice the mean, which is more than the replicas can serve.
const (
	loadReplicas     = 60
	loadSlots        = 7
	loadNodes        = 30
	loadRate         = 330.0 // requests per second, mean
	loadServiceTime  = 0.85  // seconds, mean
	loadDuration     = 29.0  // seconds
	loadOnTimeWait   = 0.150 // seconds
	loadAbandonAfter = 2.4   // seconds
	// loadCountsAge is the age of the counts that nodes have of each other
	// without a hub, in seconds.
	loadCountsAge = 0.1
)

// rateFactor returns the arrival rate at a time as a multiple of the mean.
func rateFactor(at float64) float64 {
	if math.Mod(at, 5.8) < 3.4 {
		return 0.383
	}
	return 1.87
}

// event is a function to run at a simulated time.
type event struct {
	at float64
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a discrete event simulation of requests and replicas.
type simulation struct {
	now      float64
	queue    eventQueue
	rng      *rand.Rand
	arrivals int
	onTime   int
	served   int
	// achievable is the number of requests that the slots can start on time.
	achievable float64
}

func (sim *simulation) schedule(delay float64, do func()) {
	heap.Push(&sim.queue, event{sim.now + delay, do})
}

func (sim *simulation) serviceTime() float64 { return loadServiceTime * (0.5 + sim.rng.Float64()) }

func newSimulation(seed uint64) *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
}

// process processes all events.
func (sim *simulation) process() {
	for sim.queue.Len() > 0 {
		ev := heap.Pop(&sim.queue).(event)
		sim.now = ev.at
		ev.do()
	}
}

// run generates the arrivals, calls arrive for each and processes all events.
func (sim *simulation) run(arrive func(since float64)) {
	var arrivalLoop func()
	arrivalLoop = func() {
		if sim.now > loadDuration {
			return
		}
		rate := loadRate * rateFactor(sim.now)
		sim.achievable += min(1, loadReplicas*loadSlots/loadServiceTime/rate)
		sim.arrivals++
		arrive(sim.now)
		sim.schedule(sim.rng.ExpFloat64()/rate, arrivalLoop)
	}
	sim.schedule(0, arrivalLoop)
	sim.process()
}

func (sim *simulation) recordStart(since float64) {
	sim.served++
	if sim.now-since <= loadOnTimeWait {
		sim.onTime++
	}
}

// simulateWithoutHub has each node choose the least loaded of 15 random
// replicas by outdated counts. Each replica serves its queue first in, first
// out.
func simulateWithoutHub(seed uint64) *simulation {
	sim := newSimulation(seed)
	work := make([]int, loadReplicas) // running and queued
	counts := make([]int, loadReplicas)
	queues := make([][]float64, loadReplicas)
	var end func(r int)
	start := func(r int, since float64) {
		sim.recordStart(since)
		sim.schedule(sim.serviceTime(), func() { end(r) })
	}
	end = func(r int) {
		work[r]--
		for len(queues[r]) > 0 {
			since := queues[r][0]
			queues[r] = queues[r][1:]
			if sim.now-since <= loadAbandonAfter {
				start(r, since)
				return
			}
			work[r]--
		}
	}
	countsReadAt := -loadCountsAge
	sim.run(func(since float64) {
		if sim.now-countsReadAt >= loadCountsAge {
			copy(counts, work)
			countsReadAt = sim.now
		}
		best := -1
		for range loadReplicas / 4 {
			if r := sim.rng.IntN(loadReplicas); best < 0 || counts[r] < counts[best] {
				best = r
			}
		}
		if work[best]++; work[best] <= loadSlots {
			start(best, since)
			return
		}
		queues[best] = append(queues[best], since)
	})
	return sim
}

// simulateWithHub has the nodes ask a hub. Each message takes one millisecond.
func simulateWithHub(seed uint64) *simulation {
	sim := newSimulation(seed)
	const messageDelay = 0.001
	s := newTestScheduler(loadReplicas, loadSlots)
	epoch := time.Now()
	clock := func() time.Time { return epoch.Add(time.Duration(sim.now * 1e9)) }
	own := make([]map[core.ReplicaID]int, loadNodes)
	unconfirmed := make([][]uint64, loadNodes)
	arrivedAt := map[uint64]float64{}
	var sequence, requests uint64
	var dispatch func()
	sendCounts := func(node int) {
		sequence++
		c := &nodeCounts{RunID: 1, Sequence: sequence, ConfirmedGrants: unconfirmed[node]}
		unconfirmed[node] = nil
		for id, n := range own[node] {
			if n > 0 {
				c.Replicas = append(c.Replicas, replicaCounts{ID: id, Online: n})
			}
		}
		sim.schedule(messageDelay, func() { s.receiveCounts(nodeName(node), c, clock()); dispatch() })
	}
	place := func(a *assignment, node int) {
		sim.schedule(messageDelay, func() {
			sim.recordStart(arrivedAt[a.id])
			own[node][a.replica]++
			unconfirmed[node] = append(unconfirmed[node], a.grantID)
			sim.schedule(sim.serviceTime(), func() { own[node][a.replica]--; sendCounts(node) })
		})
	}
	nodesOf := map[uint64]int{}
	dispatch = func() {
		s.expire(clock())
		for _, a := range s.dispatch(clock()) {
			place(a, nodesOf[a.id])
		}
	}
	for node := range own {
		own[node] = map[core.ReplicaID]int{}
		var refresh func()
		refresh = func() {
			if sim.now < loadDuration+loadAbandonAfter {
				sendCounts(node)
				sim.schedule(maxCountsInterval.Seconds(), refresh)
			}
		}
		sim.schedule(sim.now, refresh)
	}
	sim.run(func(arrived float64) {
		requests++
		id, node := requests, sim.rng.IntN(loadNodes)
		arrivedAt[id], nodesOf[id] = arrived, node
		sim.schedule(messageDelay, func() {
			req := testRequest(id)
			req.Waited = time.Duration((sim.now - arrived) * 1e9)
			req.MaxWait = time.Duration(loadAbandonAfter * float64(time.Second))
			if _, assigned := s.place(nodeName(node), req, clock()); assigned != nil {
				place(assigned, node)
			}
		})
	})
	return sim
}

func nodeName(i int) core.NodeID { return core.NodeID(fmt.Sprintf("n%d", i)) }

// Guards against requests that wait although slots are free at other replicas,
// and against a queue in which every request waits until all are late. The load
// has bursts of almost twice the mean rate, for 2.4 s in each 5.8 s. As many
// requests must start on time as the replicas have slots for.
func TestBurstsStartOnTimeUpToCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(4) {
		withoutHub, withHub := simulateWithoutHub(seed), simulateWithHub(seed)
		t.Logf("seed %d: started on time without a hub %d of %d, with a hub %d of %d, achievable %.0f; served %d and %d",
			seed, withoutHub.onTime, withoutHub.arrivals, withHub.onTime, withHub.arrivals, withHub.achievable, withoutHub.served, withHub.served)
		g.Expect(float64(withHub.onTime)).To(gomega.BeNumerically(">=", 0.95*withHub.achievable))
		g.Expect(withHub.onTime * withoutHub.arrivals).To(gomega.BeNumerically(">", withoutHub.onTime*withHub.arrivals))
		g.Expect(withHub.served).To(gomega.BeNumerically(">=", int(0.95*float64(withHub.arrivals))))
	}
}

// BenchmarkDispatchDuringPartition measures the cost of each message to a hub
// with a long queue: all slots are in use, and every request excludes the
// replicas of a data centre that is unreachable.
func BenchmarkDispatchDuringPartition(b *testing.B) {
	s := newTestScheduler(loadReplicas, loadSlots)
	now := time.Now()
	c := &nodeCounts{}
	var unreachable []core.ReplicaID
	for i, r := range s.replicas {
		if i%3 == 0 {
			unreachable = append(unreachable, r.id)
			continue
		}
		c.Replicas = append(c.Replicas, replicaCounts{ID: r.id, Online: loadSlots})
	}
	s.receiveCounts("a", c, now)
	for id := range uint64(400) {
		req := testRequest(id)
		req.Excluded, req.NumEjected, req.Batch, req.MaxWait = unreachable, len(unreachable), id%2 == 0, time.Hour
		s.place(nodeName(int(id%loadNodes)), req, now)
	}
	for b.Loop() {
		if len(s.dispatch(now)) > 0 {
			b.Fatal("a slot was assigned although none is free")
		}
	}
}
