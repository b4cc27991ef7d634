package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against a hub that tracks all replicas of a large service. It scans
// each of them for every request, so that its cost grows with the square of the
// size of the deployment: at 300 nodes and 3,000 replicas a single hub did not
// keep up.
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
		list := groupReplicas(nil, group{Service: "m", Index: i, Count: count}, registry.Ready("m"), time.Now(), time.Now())
		g.Expect(len(list)).To(gomega.And(gomega.BeNumerically(">", groupSize/2), gomega.BeNumerically("<", 2*groupSize)))
		total += len(list)
	}
	g.Expect(total).To(gomega.Equal(replicas), "each replica is in one group")
}

// Guards against requests that are sent to the hub of another group, which does
// not know the replica, and against slots that are used twice.
func TestNodesShareTheSlotsOfSeveralGroups(t *testing.T) {
	var infos []replica.Info
	const replicas = groupSize + 20
	for i := range replicas {
		infos = append(infos, replica.Info{ID: core.ReplicaID(fmt.Sprintf("i-%d", i)), Service: "m", DataCentre: "dc-a", Slots: 1})
	}
	f := newFleet(t, infos, "a", "b")
	used := make(map[core.ReplicaID]bool)
	for i := range replicas / 3 { // few enough that no group fills up
		r := <-f.place(t.Context(), []core.NodeID{"a", "b"}[i%2])
		f.Expect(r).NotTo(gomega.BeNil())
		f.Expect(used[r.Info().ID]).To(gomega.BeFalse(), string(r.Info().ID))
		used[r.Info().ID] = true
	}
}

// Guards against replicas that count as usable since the last refresh of the list,
// and would get no items for ever, and against one that was ejected in the meantime
// and counts as usable all the time.
func TestUsableSinceIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := replica.NewRegistry()
	for _, id := range []core.ReplicaID{"r0", "r1"} {
		registry.Put(replica.Info{ID: id, Service: "m", Slots: 8})
	}
	start := time.Now()
	list := groupReplicas(nil, testGroup, registry.Ready("m"), start, start)
	registry.Get("r1").RecordFailure(start)
	ejected := start.Add(10 * time.Millisecond)
	list = groupReplicas(list, testGroup, registry.Ready("m"), ejected, ejected)
	g.Expect(list).To(gomega.HaveLen(1))
	again := start.Add(time.Minute)
	since := make(map[core.ReplicaID]time.Time)
	for _, r := range groupReplicas(list, testGroup, registry.Ready("m"), again, again) {
		since[r.id] = r.usableSince
	}
	g.Expect(since).To(gomega.Equal(map[core.ReplicaID]time.Time{"r0": start, "r1": again}))
}
