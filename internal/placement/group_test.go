package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against a hub that accounts for all replicas of a large service: each
// question looks at each of them, so that the cost of a hub would grow with the
// square of the deployment. At 300 nodes and 3,000 replicas one hub of a service
// did not keep up.
func TestLargeServicesHaveSeveralHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	for replicas, count := range map[int]int{0: 1, 60: 1, groupSize: 1, groupSize + 1: 2, 3 * groupSize: 4, 3000: 32} {
		g.Expect(groupCount(replicas)).To(gomega.Equal(count), "%d replicas", replicas)
	}
	registry := replica.NewRegistry()
	const replicas = 3000
	for i := range replicas {
		registry.Put(replica.Info{ID: core.ReplicaID(fmt.Sprintf("i-%d", i)), Service: "m", Slots: 8})
	}
	count := groupCount(replicas)
	total := 0
	for i := range count {
		list := slots(nil, group{Service: "m", Index: i, Count: count}, registry.Ready("m"), time.Now())
		g.Expect(len(list)).To(gomega.And(gomega.BeNumerically(">", groupSize/2), gomega.BeNumerically("<", 2*groupSize)))
		total += len(list)
	}
	g.Expect(total).To(gomega.Equal(replicas), "each replica is in one group")
}

// Guards against requests that are sent to another group's hub, which does not
// know the replica, and against slots that are used twice.
func TestNodesShareTheSlotsOfSeveralGroups(t *testing.T) {
	var infos []replica.Info
	const replicas = groupSize + 20
	for i := range replicas {
		infos = append(infos, replica.Info{ID: core.ReplicaID(fmt.Sprintf("i-%d", i)), Service: "m", DataCentre: "dc-a", Slots: 1})
	}
	f := newFleet(t, infos, "a", "b")
	used := make(map[core.ReplicaID]bool)
	for i := range replicas / 3 { // no group is full by chance
		r := <-f.place(t.Context(), []core.NodeID{"a", "b"}[i%2])
		f.Expect(r).NotTo(gomega.BeNil())
		f.Expect(used[r.Info().ID]).To(gomega.BeFalse(), string(r.Info().ID))
		used[r.Info().ID] = true
	}
}
