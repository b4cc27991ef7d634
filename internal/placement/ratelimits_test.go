package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// setLimit makes a replica of the scheduler name a limit, or none.
func (s *scheduler) setLimit(id core.ReplicaID, l replica.Limit, now time.Time) {
	replicas := slices.Clone(s.replicas)
	for i := range replicas {
		if replicas[i].id == id {
			replicas[i].limit = l
		}
	}
	s.setReplicas(replicas, now)
}

func limitOf(perSecond float64) replica.Limit {
	return replica.Limit{Named: true, PerSecond: perSecond}
}

// Guards against a hub that grants a limited replica more requests than it takes: for
// any sequence of requests and items, withdrawals, free slots and changes of the limit,
// no span of time has more grants than the highest limit in it allows, and the burst.
func TestGrantsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := newTestScheduler(2, 8)
		now := time.Now()
		highest := rapid.Float64Range(minLimit, 20).Draw(t, "limit")
		s.setLimit("r0", limitOf(highest), now)
		var granted []time.Time
		record := func(assigned ...*assignment) {
			for _, a := range assigned {
				if a != nil && a.replica == "r0" {
					granted = append(granted, now)
				}
				if a != nil && rapid.Bool().Draw(t, "ends") {
					s.removeGrant(a.grantID, a.node)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				limit := rapid.Float64Range(minLimit, 20).Draw(t, "limit")
				highest = max(highest, limit)
				s.setLimit("r0", limitOf(limit), now)
			case 1:
				s.withdraw("a", id-1)
			default:
				req := testRequest(id)
				req.Batch, req.DueIn = rapid.Bool().Draw(t, "batch"), time.Minute
				_, assigned := s.place("a", req, now)
				record(assigned)
			}
			s.expire(now)
			record(s.dispatch(now)...)
		}
		for i := range granted {
			for j := i; j < len(granted); j++ {
				allowed := limitBurst + highest*granted[j].Sub(granted[i]).Seconds()
				g.Expect(float64(j - i + 1)).To(gomega.BeNumerically("<=", allowed+1e-6))
			}
		}
	})
}

// Guards against requests that wait at a limited replica although another one has a
// free slot, and against tokens that are lost: a limited replica is used when the
// others are full, or when it would take the request anyway.
func TestLimitedReplicasAreUsedWhenOthersAreFull(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 3)
	now := time.Now()
	s.setLimit("r0", limitOf(1), now)
	now = now.Add(2 * time.Second)
	var got []core.ReplicaID
	for id := range uint64(6) {
		answer, _ := s.place("a", testRequest(id), now)
		got = append(got, answer.Replica)
	}
	g.Expect(got).To(gomega.Equal([]core.ReplicaID{"r1", "r1", "r1", "r0", "r0", ""}), "the limit has allowed two requests")
	now = now.Add(time.Second)
	g.Expect(s.dispatch(now)).To(gomega.HaveLen(1))
}

// Guards against items that take what a limited replica leaves for online requests.
func TestItemsLeaveTheLimitToOnlineRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 40)
	now := time.Now()
	s.setLimit("r0", limitOf(1), now)
	item := func(id uint64) outcome {
		req := testRequest(id)
		req.Batch, req.DueIn, req.MaxWait = true, time.Minute, time.Minute
		answer, _ := s.place("a", req, now)
		return answer.Outcome
	}
	now = now.Add(3 * time.Second)
	g.Expect(item(1)).To(gomega.Equal(outcomeQueued), "a bucket that is not full yet")
	now = now.Add(time.Second)
	g.Expect(s.dispatch(now)).To(gomega.HaveLen(1))
	g.Expect(item(2)).To(gomega.Equal(outcomeQueued))
	answer, _ := s.place("a", testRequest(3), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeGranted))
}

// Guards against callers who wait for slots that the limits of the replicas do not let
// them use: what cannot be served in time is refused at once.
func TestLimitsCountInTheExpectedWait(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(4, 8)
	now := time.Now()
	for _, r := range s.replicas {
		s.setLimit(r.id, limitOf(1), now)
	}
	var outcomes []outcome
	for id := range uint64(12) { // four requests a second, and callers that wait for two seconds
		answer, _ := s.place("a", testRequest(id), now)
		outcomes = append(outcomes, answer.Outcome)
	}
	g.Expect(outcomes[:8]).To(gomega.HaveEach(outcomeQueued))
	g.Expect(outcomes[8:]).To(gomega.HaveEach(outcomeRejected))
}

// Guards against a replica that is never used again because it named a limit of 0,
// which it can withdraw only in a response.
func TestLimitOfZeroIsTried(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 8)
	now := time.Now()
	s.setLimit("r0", limitOf(0), now)
	req := testRequest(1)
	req.MaxWait = time.Minute
	s.place("a", req, now)
	g.Expect(s.dispatch(now.Add(time.Second))).To(gomega.BeEmpty())
	g.Expect(s.dispatch(now.Add(5 * time.Second))).To(gomega.HaveLen(1))
}

// Guards against nodes that each learn the limit of a replica by themselves, against a
// hub that takes over and does not know it, and against nodes that go on without a hub
// and each use the whole limit.
func TestLimitIsKnownToAllNodes(t *testing.T) {
	f := newFleet(t, []replica.Info{
		{ID: "r", Service: "m", Address: "127.0.0.1:1", DataCentre: "dc-a", Slots: 1000},
	}, "a", "b", "c")
	first := f.hub()
	for _, id := range []core.NodeID{"a", "b", "c"} {
		f.Expect(<-f.place(t.Context(), id)).NotTo(gomega.BeNil())
	}
	var told *fleetNode
	for id, n := range f.nodes {
		if id != first {
			told = n
		}
	}
	const perSecond = 3
	began := time.Now()
	told.registry.Get("r").ObserveLimit(limitOf(perSecond), began, began)
	for _, n := range f.nodes {
		f.Eventually(n.registry.CountLimited, testTimeout, "1ms").Should(gomega.Equal(1))
	}
	var granted int
	use := func() {
		for _, id := range []core.NodeID{"a", "b", "c"} {
			for range 10 {
				if r, _ := f.nodes[id].Place(t.Context(), &Query{Service: "m", Arrived: time.Now(), Objective: testObjective, MaxWait: 100 * time.Millisecond}); r != nil {
					granted++
				}
			}
		}
	}
	use()
	f.nodes[first].Stop(f.t.Context()) // the next one takes over
	use()
	for _, n := range f.nodes {
		n.Stop(f.t.Context())
	}
	use() // without a hub
	elapsed := time.Since(began).Seconds()
	f.Expect(float64(granted)).To(gomega.BeNumerically("<=", 1.5*perSecond*elapsed+5))
}

// Guards against a node without a hub that uses a limited replica although another
// node of the replica's data centre has its share.
func TestOneNodeHoldsTheShareWithoutHubs(t *testing.T) {
	f := newFleet(t, oneReplica(8), "a", "b", "c")
	info := f.nodes["a"].registry.Get("r").Info()
	holder := f.nodes["a"].candidates.Load().shareHolder(info)
	now := time.Now()
	for id, n := range f.nodes {
		f.Expect(n.candidates.Load().shareHolder(info)).To(gomega.Equal(holder))
		r := n.registry.Get("r")
		f.Expect(n.mayUseLocally(r, now)).To(gomega.BeTrue(), "no limit")
		r.ObserveLimit(limitOf(2), now, now)
		f.Expect(n.mayUseLocally(r, now)).To(gomega.BeFalse(), "an empty bucket")
		f.Expect(n.mayUseLocally(r, now.Add(900*time.Millisecond))).To(gomega.BeFalse())
		later := now.Add(time.Second) // half of the limit of two a second
		f.Expect(n.mayUseLocally(r, later)).To(gomega.Equal(id == holder))
		n.takeLocalShare(r, later)
		f.Expect(n.mayUseLocally(r, later)).To(gomega.BeFalse())
	}
}

// Guards against nodes that each send a leaving replica requests until it has told them
// by itself, and against a hub that takes over and places requests there.
func TestLeavingReplicaIsKnownToAllNodes(t *testing.T) {
	replicas := []replica.Info{
		{ID: "r", Service: "m", DataCentre: "dc-a", Slots: 8, Started: 1}, {ID: "other", Service: "m", DataCentre: "dc-a", Slots: 8, Started: 1},
	}
	f := newFleet(t, replicas, "a", "b", "c")
	first := f.hub()
	for id := range f.nodes {
		f.Expect(<-f.place(t.Context(), id)).NotTo(gomega.BeNil())
	}
	for id, n := range f.nodes {
		if id != first {
			f.Expect(n.registry.Get("r").MarkLeaving(1)).To(gomega.BeTrue())
			break
		}
	}
	for _, n := range f.nodes {
		f.Eventually(n.registry.Get("r").Leaving, testTimeout, "1ms").Should(gomega.BeTrue())
	}
	f.nodes[first].Stop(f.t.Context())
	for id := range f.nodes {
		f.Expect((<-f.place(t.Context(), id)).Info().ID).To(gomega.Equal(core.ReplicaID("other")))
	}
}
