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

func testPool(replicas, slots int) *pool {
	p := newPool()
	for i := range replicas {
		p.replicas = append(p.replicas, slot{id: core.ReplicaID(fmt.Sprintf("r%d", i)), dc: "dc-a", slots: slots})
	}
	return p
}

func question(id uint64) *ask {
	return &ask{ID: id, DataCentre: "dc-a", Objective: testObjective, Patience: 2 * time.Second}
}

// Guards against a slot that is given twice or never again: whatever nodes ask,
// tell, withdraw and lose, the grants and counts of a replica stay within its
// slots, and what waits is placed once slots are free.
func TestSlotsAreGivenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		p := testPool(3, 2)
		now := time.Now()
		type holding struct {
			node    core.NodeID
			grant   uint64
			replica core.ReplicaID
		}
		held := map[uint64]holding{} // by request
		serials := map[core.NodeID]uint64{}
		tell := func(node core.NodeID, lost bool) {
			serials[node]++
			c := &counts{Run: 1, Serial: serials[node]}
			byReplica := map[core.ReplicaID]int{}
			for _, h := range held {
				if h.node == node {
					byReplica[h.replica]++
					c.Seen = append(c.Seen, h.grant)
				}
			}
			for id, n := range byReplica {
				c.Replicas = append(c.Replicas, count{ID: id, Online: n})
			}
			if !lost {
				p.tell(node, c, now)
			}
		}
		take := func(done []*placed) {
			for _, d := range done {
				held[d.id] = holding{d.node, d.grant, d.replica}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			node := core.NodeID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				next++
				answer, done := p.ask(node, question(next), now)
				if answer.Verdict == verdictGranted {
					take([]*placed{done})
					again, _ := p.ask(node, question(next), now)
					g.Expect(again).To(gomega.Equal(answer), "a question that is asked again")
				}
			case 2:
				for id, h := range held {
					if h.node == node {
						delete(held, id)
						tell(node, rapid.Bool().Draw(t, "lost"))
						break
					}
				}
			case 3:
				p.withdraw(node, next)
				if h, ok := held[next]; ok && h.node == node {
					delete(held, next)
				}
			}
			tell("a", false) // nodes tell many times a second
			tell("b", false)
			take(p.pump(now))
			for _, r := range p.replicas {
				sum := p.sum(r.id)
				g.Expect(sum.online+p.pending[r.id]).To(gomega.BeNumerically("<=", r.slots), string(r.id))
			}
		}
		clear(held)
		now = now.Add(grantTTL + time.Millisecond) // grants that were lost with their messages
		tell("a", false)
		tell("b", false)
		p.expire(now)
		waiting := 0
		for _, w := range p.waiting {
			if w.goneAt.After(now) {
				waiting++
			}
		}
		take(p.pump(now))
		g.Expect(len(held)).To(gomega.BeNumerically(">=", min(waiting, 6)))
	})
}

// Guards against batch work that keeps a slot while a caller waits, and against
// a question to give way though there is a free slot.
func TestBatchWorkLeavesItsSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(2, 2)
	now := time.Now()
	p.tell("a", &counts{Replicas: []count{{ID: "r0", Online: 1, Batch: 1}, {ID: "r1", Batch: 1}}}, now)
	_, done := p.ask("b", question(1), now)
	g.Expect(done.replica).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(done.preempts).To(gomega.BeFalse())
	_, done = p.ask("b", question(2), now)
	g.Expect(done.preempts).To(gomega.BeTrue())
	holder, ok := p.batchHolder(done.replica)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(holder).To(gomega.Equal(core.NodeID("a")))
}

// Guards against callers who leave while a request of theirs is kept, and
// against a wait that is known to be longer than a caller's patience.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(1, 2)
	now := time.Now()
	var refused askAnswer
	for id := uint64(1); id < 20; id++ {
		if answer, _ := p.ask("a", question(id), now); answer.Verdict == verdictRefused {
			refused = answer
			break
		}
	}
	// Two slots of 0.8 s serve five waiting requests in 2 s.
	g.Expect(refused.Wait).To(gomega.BeNumerically("~", 2400*time.Millisecond, time.Millisecond))
	g.Expect(p.waiting).To(gomega.HaveLen(5))
	p.tell("a", &counts{}, now.Add(3*time.Second))
	g.Expect(p.pump(now.Add(3 * time.Second))).To(gomega.BeEmpty())
	g.Expect(p.waiting).To(gomega.BeEmpty())
}

// Guards against a replica without a usable slot, and against a service without
// replicas: its requests must not wait for a hub that knows nothing.
func TestNoReplicaIsToldAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	answer, _ := testPool(0, 0).ask("a", question(1), time.Now())
	g.Expect(answer.Verdict).To(gomega.Equal(verdictNone))
	q := question(1)
	q.Not, q.Avoided = []core.ReplicaID{"r0"}, -1 // a count that no node sends
	answer, _ = testPool(1, 2).ask("a", q, time.Now())
	g.Expect(answer.Verdict).To(gomega.Equal(verdictNone))
}

// Guards against counts that arrive after newer ones of the same process, and
// against those of a restarted process that are taken for old.
func TestCountsThatOvertakeEachOther(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(1, 4)
	now := time.Now()
	tell := func(run, serial uint64, online int) {
		p.tell("a", &counts{Run: run, Serial: serial, Replicas: []count{{ID: "r0", Online: online}}}, now)
	}
	tell(1, 2, 3)
	tell(1, 1, 4)
	g.Expect(p.sum("r0").online).To(gomega.Equal(3))
	tell(2, 1, 1)
	g.Expect(p.sum("r0").online).To(gomega.Equal(1))
}

// Guards against replicas that look free because the nodes that use them ask
// another hub: nodes that are cut off from the store keep to a hub that the
// others have given up. The replica's own reports show that work.
func TestWorkOfOtherHubsCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(2, 2)
	now := time.Now()
	report := func(id core.ReplicaID, reported int) {
		p.tell("a", &counts{Replicas: []count{{ID: id, Online: 1, Reported: reported}}}, now)
	}
	report("r0", 2)
	r, _ := p.choose(newWaiter("b", question(1), now), now)
	g.Expect(r.id).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(p.unseen["r0"].work(now)).To(gomega.Equal(0), "one report")
	report("r0", 2)
	g.Expect(p.unseen["r0"].work(now)).To(gomega.Equal(1))
	p.tell("b", &counts{Replicas: []count{{ID: "r1", Online: 2}}}, now)
	answer, _ := p.ask("b", question(1), now)
	g.Expect(answer.Verdict).To(gomega.Equal(verdictQueued))
	now = now.Add(unseenTTL + time.Millisecond)
	g.Expect(p.pump(now)).To(gomega.HaveLen(1), "old reports")
}

// Guards against items of jobs that take the slots of callers, and against items
// that are late anyway and make others late: more items than slots, as in the
// bulk hours of both users. The first free slots go to callers, then to the item
// that is due first and can still be in time.
func TestItemsComeLastInTheOrderTheyAreDue(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(2, 20)
	now := time.Now()
	item := func(id uint64, due time.Duration, late bool) *ask {
		return &ask{ID: id, DataCentre: "dc-a", Batch: true, DueIn: due, Late: late, Patience: time.Minute}
	}
	p.tell("a", &counts{Replicas: []count{{ID: "r0", Online: 20}, {ID: "r1", Online: 18}}}, now)
	for id, due := range []time.Duration{9, 3, 6} {
		answer, _ := p.ask("a", item(uint64(id), due*time.Second, id == 1), now)
		g.Expect(answer.Verdict).To(gomega.Equal(verdictQueued), "two slots are the headroom")
	}
	answer, _ := p.ask("a", question(10), now)
	g.Expect(answer.Verdict).To(gomega.Equal(verdictGranted))
	p.withdraw("a", 10)
	p.tell("a", &counts{Replicas: []count{{ID: "r0", Online: 20}, {ID: "r1", Online: 15}}}, now)
	var order []uint64
	for _, d := range p.pump(now) {
		order = append(order, d.id)
	}
	g.Expect(order).To(gomega.Equal([]uint64{2, 0, 1}))
}

// Guards against requests of a node that has not met the failures which all
// others met: a data centre is cut off, and the node's own streams go elsewhere.
// Trouble that one node of many sees is left to that node.
func TestReplicasThatOthersAvoidGetNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPool(2, 8)
	now := time.Now()
	ask := func(node core.NodeID, id uint64, avoided ...core.ReplicaID) core.ReplicaID {
		q := question(id)
		q.Not, q.Avoided = avoided, len(avoided)
		answer, _ := p.ask(node, q, now)
		return answer.Replica
	}
	g.Expect(ask("a", 1, "r0")).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(ask("b", 2)).To(gomega.Equal(core.ReplicaID("r0")), "one node")
	ask("c", 3, "r0")
	for id := range uint64(4) {
		g.Expect(ask("b", 10+id)).To(gomega.Equal(core.ReplicaID("r1")), "two of three nodes")
	}
	ask("c", 20, "r0", "r1")
	ask("a", 21, "r0", "r1")
	g.Expect(ask("b", 22)).NotTo(gomega.BeEmpty(), "all replicas are avoided")
	now = now.Add(shunTTL + time.Millisecond)
	g.Expect(ask("b", 23)).To(gomega.Equal(core.ReplicaID("r0")), "long ago")
}
