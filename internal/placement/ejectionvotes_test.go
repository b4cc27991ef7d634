package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against counts of votes that drift from the votes of the nodes, as these
// change, repeat and expire: a replica would stay ejected for ever.
func TestEjectionVotesMatchTheNodes(t *testing.T) {
	ids := []core.ReplicaID{"r0", "r1", "r2", "r3"}
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		v := newEjectionVotes()
		now := time.Now()
		type vote struct {
			at       time.Time
			replicas []core.ReplicaID
		}
		last := make(map[core.NodeID]vote)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			node := core.NodeID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "node"))
			list := slices.DeleteFunc(slices.Clone(ids), func(core.ReplicaID) bool { return rapid.Bool().Draw(t, "healthy") })
			v.record(node, list, now)
			last[node] = vote{now, list}
			v.expire(now)
			voters, votes := 0, make(map[core.ReplicaID]int)
			for _, l := range last {
				if now.Sub(l.at) <= ejectionVoteTTL {
					voters++
					for _, id := range l.replicas {
						votes[id]++
					}
				}
			}
			for _, id := range ids {
				want := votes[id] >= minEjectionVotes && float64(votes[id]) >= minEjectionVoteShare*float64(voters)
				g.Expect(v.ejected(id)).To(gomega.Equal(want), string(id))
			}
		}
	})
}
