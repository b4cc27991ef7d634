package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// Guards against sums that drift from the counts of the nodes, as counts
// change, nodes fall silent and batch items are preempted.
func TestLedgerSumsMatchNodeCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		l := newLedger()
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				l.expire(now)
			case 1:
				l.claimBatchItem(core.ReplicaID(rapid.SampledFrom([]string{"r0", "r1", "r2"}).Draw(t, "replica")))
			default:
				c := &nodeCounts{}
				for _, id := range []string{"r0", "r1", "r2"} {
					if rapid.Bool().Draw(t, "has") {
						c.Replicas = append(c.Replicas, replicaCounts{
							ID: core.ReplicaID(id), Online: rapid.IntRange(-1, 9).Draw(t, "online"), Batch: rapid.IntRange(-1, 9).Draw(t, "batch"),
						})
					}
				}
				l.replaceCounts(core.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")), c, now)
			}
			want := make(map[core.ReplicaID]inFlight)
			for _, entry := range l.nodes {
				for id, c := range entry.counts {
					want[id] = inFlight{online: want[id].online + c.Online, batch: want[id].batch + c.Batch}
				}
			}
			for id, sum := range want {
				g.Expect(l.sum(id)).To(gomega.Equal(sum))
			}
			for id, sum := range l.sums {
				g.Expect(want[id]).To(gomega.Equal(sum))
			}
		}
	})
}

// Guards against counts of a node that is gone, which would keep work away from
// free replicas.
func TestCountsOfSilentNodeExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger()
	now := time.Now()
	l.replaceCounts("a", &nodeCounts{Replicas: []replicaCounts{{ID: "r", Online: 3, Batch: 2}}}, now)
	changed, live := l.expire(now.Add(countsTTL))
	g.Expect(changed).To(gomega.BeEmpty())
	g.Expect(live).To(gomega.Equal(1))
	changed, live = l.expire(now.Add(countsTTL + time.Millisecond))
	g.Expect(changed).To(gomega.Equal(map[core.ReplicaID]inFlight{"r": {}}))
	g.Expect(live).To(gomega.Equal(0))
}

// Guards against a message that other nodes cannot decode, and against field
// names in the encoding of each replicaCounts, which would double its size.
func TestCountsEncoding(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := nodeCounts{Replicas: []replicaCounts{{ID: "i-12ab34cd56", Online: 3, Batch: 1}, {ID: "i-2", Batch: 4}}}
	body, err := msgpack.Marshal(&sent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var got nodeCounts
	g.Expect(msgpack.Unmarshal(body, &got)).To(gomega.Succeed())
	g.Expect(got).To(gomega.Equal(sent))
	empty, err := msgpack.Marshal(&nodeCounts{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(body) - len(empty)).To(gomega.BeNumerically("<", 36))
}
