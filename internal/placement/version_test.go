package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// versioned returns replicas, the first of which has version v1 and the others v2.
func versioned(n int) []replica.Info {
	out := make([]replica.Info, n)
	for i := range out {
		out[i] = replica.Info{ID: core.ReplicaID(fmt.Sprintf("r%d", i)), Service: "m", Address: "127.0.0.1:1", DataCentre: "dc-a", Slots: 8, Version: "v2"}
	}
	out[0].Version = "v1"
	return out
}

// placeVersion places a request that only replicas of a version may get.
func (f *fleet) placeVersion(node core.NodeID, version core.SoftwareVersion, tried ...core.ReplicaID) *replica.Replica {
	r, _ := f.nodes[node].Place(f.t.Context(), &Query{
		Service: "m", Arrived: time.Now(), Objective: testObjective, MaxWait: testTimeout, Urgent: true, Version: &version, Tried: tried,
	})
	return r
}

// Guards against a stream that goes on at another version of the software than the one
// that began it, with a hub and without one.
func TestPlacementKeepsToVersion(t *testing.T) {
	for name, stopped := range map[string]bool{"with a hub": false, "without a hub": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, versioned(6), "a", "b")
			for _, n := range f.nodes {
				if stopped {
					n.Stop(f.t.Context())
				}
			}
			for range 5 {
				for _, node := range []core.NodeID{"a", "b"} {
					r := f.placeVersion(node, "v1")
					f.Expect(r).NotTo(gomega.BeNil())
					f.Expect(r.Info().ID).To(gomega.Equal(core.ReplicaID("r0")))
					r.End(core.ClassOnline)
				}
			}
			f.Expect(f.placeVersion("a", "v1", "r0")).To(gomega.BeNil(), "its only replica was tried")
			f.Expect(f.placeVersion("a", "")).To(gomega.BeNil(), "the empty version is one of its own")
		})
	}
}

// Guards against the replica of another version that a hub grants which does not know
// the version: it runs an earlier build, or has read an earlier registration. The hub
// must be told of all of these replicas at once, not of one after the other.
func TestGrantOfAnotherVersionIsNotUsed(t *testing.T) {
	const replicas = 150
	f := newFleet(t, versioned(replicas), "a")
	unaware := versioned(replicas)
	for i := range unaware {
		unaware[i].Version = "v1"
	}
	f.start("b", unaware)
	a, b := f.nodes["a"], f.nodes["b"]
	a.Stop(f.t.Context())
	f.Eventually(func() int { a.updateNodes(); return len(a.candidates.Load().records) }, testTimeout, "10ms").Should(gomega.Equal(2))
	r := f.placeVersion("a", "v1")
	f.Expect(r).NotTo(gomega.BeNil())
	f.Expect(r.Info().ID).To(gomega.Equal(core.ReplicaID("r0")))
	b.hub.mu.Lock()
	defer b.hub.mu.Unlock()
	f.Expect(b.hub.groups).NotTo(gomega.BeEmpty())
	for g, state := range b.hub.groups {
		f.Expect(state.lastGrantID).To(gomega.BeNumerically("<=", 2), g.key())
	}
}

// Guards against a request for the empty version that arrives as one for any version,
// and against a message of an earlier build that is taken for one for a version.
func TestVersionInPlacementRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	empty, named := core.SoftwareVersion(""), core.SoftwareVersion("v1")
	for _, version := range []*core.SoftwareVersion{nil, &empty, &named} {
		data, err := msgpack.Marshal(&placementRequest{Version: version})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got placementRequest
		g.Expect(msgpack.Unmarshal(data, &got)).To(gomega.Succeed())
		g.Expect(got.Version).To(gomega.Equal(version))
	}
	data, err := msgpack.Marshal(map[string]any{"i": 7})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var got placementRequest
	g.Expect(msgpack.Unmarshal(data, &got)).To(gomega.Succeed())
	g.Expect(got.Version).To(gomega.BeNil())
}

// newTwoVersions returns a scheduler with a replica of version v1 without a free slot,
// and one of version v2 with one.
func newTwoVersions(now time.Time) *scheduler {
	s := newScheduler()
	s.setReplicas([]replicaSlots{
		{id: "r0", dc: "dc-a", slots: 1, version: "v1"},
		{id: "r1", dc: "dc-a", slots: 1, version: "v2"},
	}, now)
	s.receiveCounts("b", &nodeCounts{Replicas: []replicaCounts{{ID: "r0", Online: 1}}}, now)
	return s
}

// versionRequest is a request of a resumed stream for a version.
func versionRequest(id uint64, version core.SoftwareVersion) *placementRequest {
	req := testRequest(id)
	req.Urgent, req.Version = true, &version
	return req
}

// Guards against requests that wait although a slot is free for them, because a resumed
// stream that is queued before them waits for another version. A slot that it may use
// must stay its own.
func TestQueuedStreamOfAVersionHoldsUpNoOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newTwoVersions(now)
	answer, _ := s.place("a", versionRequest(1, "v1"), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued))
	answer, _ = s.place("a", testRequest(2), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeGranted))
	g.Expect(answer.Replica).To(gomega.Equal(core.ReplicaID("r1")))

	s.receiveCounts("b", &nodeCounts{Sequence: 1}, now) // the slot of r0 is free
	answer, _ = s.place("a", testRequest(3), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued))
	assigned := s.dispatch(now)
	g.Expect(assigned).To(gomega.HaveLen(1))
	g.Expect(assigned[0].id).To(gomega.Equal(uint64(1)))
	g.Expect(assigned[0].replica).To(gomega.Equal(core.ReplicaID("r0")))
}

// Guards against a resumed stream that stays queued until its caller gives up, although
// the last replica of its version has gone: its node must learn of it, so that it can
// break the stream off.
func TestQueuedStreamOfAVersionThatIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	s := newTwoVersions(now)
	answer, _ := s.place("a", versionRequest(1, "v1"), now)
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeQueued))
	s.rejectHopeless(now)
	g.Expect(s.queue).To(gomega.HaveLen(1))
	s.setReplicas(s.replicas[1:], now)
	s.rejectHopeless(now)
	answer, _ = s.place("a", versionRequest(1, "v1"), now) // nodes ask again while they wait
	g.Expect(answer.Outcome).To(gomega.Equal(outcomeNoReplica))
}
