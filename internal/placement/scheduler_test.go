package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

const testObjective = 300 * time.Millisecond

func newTestScheduler(replicas, slots int) *scheduler {
	s := newScheduler()
	for i := range replicas {
		s.replicas = append(s.replicas, replicaSlots{id: core.ReplicaID(fmt.Sprintf("r%d", i)), dc: "dc-a", slots: slots})
	}
	return s
}

func testRequest(id uint64) *placementRequest {
	return &placementRequest{ID: id, DataCentre: "dc-a", Objective: testObjective, MaxWait: 2 * time.Second}
}

// Guards against a slot that is granted twice or never again. For any sequence
// of requests, counts, withdrawals and lost messages, the grants and counts of
// a replica must stay within its slots, and queued requests must be placed once
// slots are free.
func TestSlotsAreGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		s := newTestScheduler(3, 2)
		now := time.Now()
		type heldGrant struct {
			node    core.NodeID
			grant   uint64
			replica core.ReplicaID
		}
		held := map[uint64]heldGrant{} // by request ID
		sequences := map[core.NodeID]uint64{}
		sendCounts := func(node core.NodeID, lost bool) {
			sequences[node]++
			c := &nodeCounts{RunID: 1, Sequence: sequences[node]}
			byReplica := map[core.ReplicaID]int{}
			for _, h := range held {
				if h.node == node {
					byReplica[h.replica]++
					c.ConfirmedGrants = append(c.ConfirmedGrants, h.grant)
				}
			}
			for id, n := range byReplica {
				c.Replicas = append(c.Replicas, replicaCounts{ID: id, Online: n})
			}
			if !lost {
				s.receiveCounts(node, c, now)
			}
		}
		record := func(assigned []*assignment) {
			for _, a := range assigned {
				held[a.id] = heldGrant{a.node, a.grantID, a.replica}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			node := core.NodeID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				next++
				answer, assigned := s.place(node, testRequest(next), now)
				if answer.Outcome == outcomeGranted {
					record([]*assignment{assigned})
					again, _ := s.place(node, testRequest(next), now)
					g.Expect(again).To(gomega.Equal(answer), "a repeated request")
				}
			case 2:
				for id, h := range held {
					if h.node == node {
						delete(held, id)
						sendCounts(node, rapid.Bool().Draw(t, "lost"))
						break
					}
				}
			case 3:
				s.withdraw(node, next)
				if h, ok := held[next]; ok && h.node == node {
					delete(held, next)
				}
			}
			sendCounts("a", false) // nodes send counts many times a second
			sendCounts("b", false)
			record(s.dispatch(now))
			for _, r := range s.replicas {
				sum := s.sum(r.id)
				g.Expect(sum.online+s.pendingByReplica[r.id]).To(gomega.BeNumerically("<=", r.slots), string(r.id))
			}
		}
		clear(held)
		now = now.Add(grantTTL + time.Millisecond) // expires the grants whose messages were lost
		sendCounts("a", false)
		sendCounts("b", false)
		s.expire(now)
		waiting := 0
		for _, q := range s.queue {
			if q.abandonedAt.After(now) {
				waiting++
			}
		}
		record(s.dispatch(now))
		g.Expect(len(held)).To(gomega.BeNumerically(">=", min(waiting, 6)))
	})
}

// Guards against batch work that keeps its slot while an online request waits,
// and against a preemption although a slot is free.
func TestOnlineRequestsPreemptBatchWork(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 2)
	now := time.Now()
	s.receiveCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: "r0", Online: 1, Batch: 1}, {ID: "r1", Batch: 1}}}, now)
	_, assigned := s.place("b", testRequest(1), now)
	g.Expect(assigned.replica).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(assigned.preempts).To(gomega.BeFalse())
	_, assigned = s.place("b", testRequest(2), now)
	g.Expect(assigned.preempts).To(gomega.BeTrue())
	holder, ok := s.claimBatchItem(assigned.replica)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(holder).To(gomega.Equal(core.NodeID("a")))
}

// Guards against requests that stay queued after their callers gave up, and
// against a request that is queued although its expected wait exceeds its
// maximum wait.
func TestRequestsThatWouldTimeOutAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 2)
	s.serviceTime.adopt(streamDuration)
	now := time.Now()
	var rejected placementResponse
	for id := uint64(1); id < 20; id++ {
		if answer, _ := s.place("a", testRequest(id), now); answer.Outcome == outcomeRejected {
			rejected = answer
			break
		}
	}
	// Two slots of 0.8 s serve five queued requests in 2 s.
	g.Expect(rejected.ExpectedWait).To(gomega.BeNumerically("~", 2400*time.Millisecond, time.Millisecond))
	g.Expect(s.queue).To(gomega.HaveLen(5))
	s.receiveCounts("a", &nodeCounts{}, now.Add(3*time.Second))
	g.Expect(s.dispatch(now.Add(3 * time.Second))).To(gomega.BeEmpty())
	g.Expect(s.queue).To(gomega.BeEmpty())
}

// Guards against requests that are queued at a hub that knows no replica for
// them: a service without replicas, or one whose replicas are all excluded.
func TestNoEligibleReplicaIsReportedImmediately(t *testing.T) {
	g := gomega.NewWithT(t)
	answer, _ := newTestScheduler(0, 0).place("a", testRequest(1), time.Now())
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeNoReplica))
	req := testRequest(1)
	req.Excluded, req.NumEjected = []core.ReplicaID{"r0"}, -1 // invalid: no node sends a negative number
	answer, _ = newTestScheduler(1, 2).place("a", req, time.Now())
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeNoReplica))
}

// Guards against counts that replace newer ones of the same process when
// messages arrive out of order, and against the counts of a restarted process
// being ignored as old.
func TestReorderedCountsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 4)
	now := time.Now()
	sendCounts := func(runID, sequence uint64, online int) {
		s.receiveCounts("a", &nodeCounts{RunID: runID, Sequence: sequence, Replicas: []replicaCounts{{ID: "r0", Online: online}}}, now)
	}
	sendCounts(1, 2, 3)
	sendCounts(1, 1, 4)
	g.Expect(s.sum("r0").online).To(gomega.Equal(3))
	sendCounts(2, 1, 1)
	g.Expect(s.sum("r0").online).To(gomega.Equal(1))
}

// Guards against replicas that look free because the nodes that use them report
// to another hub: nodes that are cut off from the store keep a hub that the
// others no longer use. The load reports of the replica show that work.
func TestUntrackedLoadOccupiesSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 2)
	now := time.Now()
	report := func(id core.ReplicaID, reported int) {
		s.receiveCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: id, Online: 1, Reported: reported}}}, now)
	}
	report("r0", 2)
	r, _ := s.openings(now).choose(newQueuedRequest("b", testRequest(1), &account{}, 1, now), s.headroom())
	g.Expect(r.id).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(s.untracked["r0"].confirmed(now)).To(gomega.Equal(0), "after a single report")
	report("r0", 2)
	g.Expect(s.untracked["r0"].confirmed(now)).To(gomega.Equal(1))
	s.receiveCounts("b", &nodeCounts{Replicas: []replicaCounts{{ID: "r1", Online: 2}}}, now)
	answer, _ := s.place("b", testRequest(1), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued))
	now = now.Add(untrackedLoadTTL + time.Millisecond)
	g.Expect(s.dispatch(now)).To(gomega.HaveLen(1), "reports have expired")
}

// Guards against items of jobs that take the slots of online requests, and
// against items that will miss their due time and delay others until these miss
// theirs, too. There are more items than slots, as in hours with bulk jobs. The
// first free slots go to online requests, then to the item with the earliest due
// time that can still meet it.
func TestItemsAreServedLastByDueTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 20)
	now := time.Now()
	item := func(id uint64, due time.Duration, late bool) *placementRequest {
		return &placementRequest{ID: id, DataCentre: "dc-a", Batch: true, DueIn: due, Late: late, MaxWait: time.Minute}
	}
	s.receiveCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: "r0", Online: 20}, {ID: "r1", Online: 18}}}, now)
	for id, due := range []time.Duration{9, 3, 6} {
		answer, _ := s.place("a", item(uint64(id), due*time.Second, id == 1), now)
		g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued), "the two free slots are the headroom")
	}
	answer, _ := s.place("a", testRequest(10), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeGranted))
	s.withdraw("a", 10)
	s.receiveCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: "r0", Online: 20}, {ID: "r1", Online: 15}}}, now)
	var order []uint64
	for _, a := range s.dispatch(now) {
		order = append(order, a.id)
	}
	g.Expect(order).To(gomega.Equal([]uint64{2, 0, 1}))
}

// Guards against requests to an unreachable replica from a node that has not
// seen the failures that all other nodes saw: a data centre is cut off, and the
// node's own streams use replicas elsewhere. Failures that only one of many
// nodes sees must not affect the other nodes.
func TestReplicasEjectedByOtherNodesGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 8)
	now := time.Now()
	ask := func(node core.NodeID, id uint64, ejected ...core.ReplicaID) core.ReplicaID {
		req := testRequest(id)
		req.Excluded, req.NumEjected = ejected, len(ejected)
		answer, _ := s.place(node, req, now)
		return answer.Replica
	}
	g.Expect(ask("a", 1, "r0")).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(ask("b", 2)).To(gomega.Equal(core.ReplicaID("r0")), "ejected by one node")
	ask("c", 3, "r0")
	for id := range uint64(4) {
		g.Expect(ask("b", 10+id)).To(gomega.Equal(core.ReplicaID("r1")), "ejected by two of three nodes")
	}
	ask("c", 20, "r0", "r1")
	ask("a", 21, "r0", "r1")
	g.Expect(ask("b", 22)).NotTo(gomega.BeEmpty(), "all replicas are ejected by two nodes")
	now = now.Add(ejectionVoteTTL + time.Millisecond)
	g.Expect(ask("b", 23)).To(gomega.Equal(core.ReplicaID("r0")), "votes have expired")
}

// Guards against items of jobs in the estimate of the service time of online
// requests: many pending grants of items made the expected wait many times too
// long, and callers were refused.
func TestPendingItemsAreNotOnlineWork(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(8, 8)
	now := time.Now()
	for id := range uint64(40) {
		item := testRequest(id)
		item.Batch = true
		answer, _ := s.place("a", item, now)
		g.Expect(answer.Outcome).To(gomega.Equal(outcomeGranted))
	}
	s.place("a", testRequest(100), now)
	s.expire(now)
	g.Expect(s.serviceTime.busyAtSample).To(gomega.Equal(1))
}

// Measures the placement of a request at the hub of a large fleet while a data
// centre is cut off and most nodes have ejected its replicas.
func BenchmarkPlaceDuringCut(b *testing.B) {
	s := newTestScheduler(96, 7)
	now := time.Now()
	var cutOff []core.ReplicaID
	for _, r := range s.replicas[:32] {
		cutOff = append(cutOff, r.id)
	}
	request := func(id uint64) *placementRequest {
		r := testRequest(id)
		r.Excluded, r.NumEjected = cutOff, len(cutOff)
		return r
	}
	nodes := make([]core.NodeID, 295)
	for i := range nodes {
		nodes[i] = core.NodeID(fmt.Sprintf("n%d", i))
		s.place(nodes[i], request(uint64(i)), now)
	}
	b.ResetTimer()
	for i := range b.N {
		id := uint64(1000 + i)
		s.place(nodes[i%len(nodes)], request(id), now)
		s.withdraw(nodes[i%len(nodes)], id)
	}
}

// Measures a dispatch at the hub of a large fleet right after a data centre was cut
// off: free slots only at its replicas, which the nodes of the queued requests have
// ejected and the hub has not.
func BenchmarkDispatchDuringCut(b *testing.B) {
	s := newTestScheduler(96, 7)
	now := time.Now()
	busy := &nodeCounts{RunID: 1, Sequence: 1}
	var cutOff []core.ReplicaID
	for i, r := range s.replicas {
		if i < 32 {
			cutOff = append(cutOff, r.id)
		} else {
			busy.Replicas = append(busy.Replicas, replicaCounts{ID: r.id, Online: 7})
		}
	}
	s.receiveCounts("a", busy, now)
	for id := range uint64(300) {
		r := testRequest(id)
		r.Excluded, r.MaxWait = cutOff, time.Hour
		s.place("a", r, now)
	}
	b.ResetTimer()
	for range b.N {
		s.dispatch(now)
	}
}

// Guards against an estimate of the service time that takes the work of nodes that
// come from another hub, or go to one, for requests that do not end: after a cut
// of a data centre it was 23 s instead of 0.8 s, and callers were refused.
func TestServiceTimeIgnoresNodesThatChangeHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(50, 8)
	now := time.Now()
	var sequence uint64
	report := func(node core.NodeID, online int) {
		sequence++
		s.receiveCounts(node, &nodeCounts{RunID: 1, Sequence: sequence, Replicas: []replicaCounts{{ID: "r0", Online: online}}}, now)
	}
	next := uint64(0)
	for step := range 40 {
		for i := range step/4 + 1 { // every 400 ms another node with work arrives
			report(core.NodeID(fmt.Sprintf("n%d", i)), 40)
		}
		report("a", 20)
		for range 12 { // node a has 12 requests a step, and as many end
			next++
			_, assigned := s.place("a", testRequest(next), now)
			s.removeGrant(assigned.grantID, "a")
		}
		now = now.Add(100 * time.Millisecond)
		s.expire(now)
	}
	g.Expect(s.serviceTime.measured()).To(gomega.BeNumerically("<=", 2*time.Second))
}

// Guards against a hub that takes replicas for empty because it has not heard yet of
// the work of the nodes that use them: after a cut of a data centre healed, the hub
// there granted 250 slots that items on the other side were using.
func TestItemsAvoidReplicasThatBecameUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newTestScheduler(2, 50)
	s.replicas[1].usableSince = now
	s.receiveCounts("a", &nodeCounts{RunID: 1, Sequence: 1, Replicas: []replicaCounts{{ID: "r0", Online: 50}}}, now)
	item := testRequest(1)
	item.Batch, item.MaxWait = true, time.Minute
	answer, _ := s.place("a", item, now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued))
	answer, _ = s.place("a", testRequest(2), now)
	g.Expect(answer.Replica).To(gomega.Equal(core.ReplicaID("r1")), "an online request does not wait")
	g.Expect(s.dispatch(now.Add(replicaSettleTime - time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(s.dispatch(now.Add(replicaSettleTime))).To(gomega.HaveLen(1))
}
