package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against preempting an item while another replica has a free slot, as the
// free slots are often those of replicas that run a little slower than others. An
// item must still yield if the only free slots are at a replica that is so slow
// that a stream would be late there.
func TestItemsAreNotPreemptedForFreeSlots(t *testing.T) {
	for slowdown, preempts := range map[int]bool{110: false, 190: false, 400: true} {
		g := gomega.NewWithT(t)
		s := newTestScheduler(2, 7)
		now := time.Now()
		s.receiveCounts("a", &nodeCounts{RunID: 1, Sequence: 1, Replicas: []replicaCounts{
			{ID: "r0", Online: 6, Slowdown: slowdown}, {ID: "r1", Batch: 7, Slowdown: 100},
		}}, now)
		_, assigned := s.place("a", testRequest(1), now)
		g.Expect(assigned.preempts).To(gomega.Equal(preempts), "slowdown %d", slowdown)
	}
}

// Guards against preempting an item that can still be done in time while another
// one is late anyway or is due later, whichever node runs it.
func TestItemsThatLoseLeastArePreempted(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newTestScheduler(3, 2)
	counts := func(node core.NodeID, replica core.ReplicaID, dueMS int64, late bool) {
		s.receiveCounts(node, &nodeCounts{RunID: 1, Sequence: 1,
			Replicas: []replicaCounts{{ID: replica, Batch: 2}}, Victims: []replicaVictim{{DueMS: dueMS, Late: late}},
		}, now)
	}
	counts("a", "r0", 9000, false)
	counts("b", "r1", 3000, true)
	counts("c", "r2", 12000, false)
	var order []core.NodeID
	for id := range uint64(6) {
		_, assigned := s.place("x", testRequest(id), now)
		g.Expect(assigned.preempts).To(gomega.BeTrue())
		holder, ok := s.claimBatchItem(assigned.replica)
		g.Expect(ok).To(gomega.BeTrue())
		order = append(order, holder)
	}
	g.Expect(order).To(gomega.Equal([]core.NodeID{"b", "b", "c", "c", "a", "a"}))
}

// Guards against a message of another node whose victims name no replica.
func TestVictimsOutOfRangeAreIgnored(t *testing.T) {
	s := newTestScheduler(1, 2)
	s.receiveCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: "r0", Online: 1}}, Victims: []replicaVictim{{Index: -1}, {Index: 0}, {Index: 1 << 40}}}, time.Now())
	gomega.NewWithT(t).Expect(s.holders).To(gomega.BeEmpty())
}
