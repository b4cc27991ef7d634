package replica

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// newTestRegistry returns a registry with one replica per given data centre. Each
// has an open response, whose last bytes were received at the returned time.
func newTestRegistry(dcs ...core.DataCentre) (*Registry, []*Replica, time.Time) {
	g := NewRegistry()
	start := time.Now()
	var all []*Replica
	for i, dc := range dcs {
		id := core.ReplicaID(string(rune('a' + i)))
		g.Put(Info{ID: id, Service: "m", Address: "127.0.0.1:1", DataCentre: dc, Slots: 8})
		r := g.Get(id)
		r.openResponses.Add(1)
		r.lastRead.Set(start)
		all = append(all, r)
	}
	return g, all, start
}

// A replica that crashes without closing its connections must be ejected.
// Otherwise each request that is sent to it is lost.
func TestStalledReplicaIsEjected(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := newTestRegistry("x", "x", "x")
	now := start.Add(stallTimeout)
	all[1].lastRead.Set(now)
	all[2].lastRead.Set(now)
	gm.Expect(g.CheckHealth(now)).To(gomega.Equal(all[:1]))
	gm.Expect(all[0].Ejected(now.Add(time.Hour))).To(gomega.BeTrue())
	gm.Expect(all[1].Ejected(now)).To(gomega.BeFalse())
	gm.Expect(g.CheckHealth(now)).To(gomega.BeEmpty()) // reported only once

	// A replica without open responses does not count as stalled.
	all[1].openResponses.Add(-1)
	later := now.Add(stallTimeout)
	all[2].lastRead.Set(later)
	gm.Expect(g.CheckHealth(later)).To(gomega.BeEmpty())
}

// A node that was paused itself sees every replica as stalled. It must not eject
// them all.
func TestNoEjectionIfAllReplicasStall(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := newTestRegistry("x", "y", "y")
	now := start.Add(time.Second)
	gm.Expect(g.CheckHealth(now)).To(gomega.BeEmpty())
	gm.Expect(all[0].Ejected(now)).To(gomega.BeFalse())
}

// When a data centre is partitioned, all of its replicas must be ejected together.
// Otherwise requests are lost at each of them in turn.
func TestUnreachableDataCentreIsEjected(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := newTestRegistry("x", "x", "y", "y", "y")
	now := start.Add(stallTimeout)
	all[0].lastRead.Set(now)
	all[1].lastRead.Set(now)
	all[4].openResponses.Add(-1) // not in use, but in the same partition
	gm.Expect(g.CheckHealth(now)).To(gomega.ConsistOf(all[2], all[3], all[4]))
	gm.Expect(all[0].Ejected(now)).To(gomega.BeFalse())
	chosen := g.Choose(&Query{Service: "m", DataCentre: "y", Now: now})
	gm.Expect(chosen.Info().DataCentre).To(gomega.Equal(core.DataCentre("x")))
}

// An unreachable replica must be used again once a probe can connect to it. Without
// probes it stays ejected for good, or callers' requests have to serve as probes.
func TestProbeRestoresUnreachableReplica(t *testing.T) {
	gm := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	g := NewRegistry()
	g.Put(Info{ID: "a", Service: "m", Address: "127.0.0.1:1", Slots: 8}) // nothing listens there
	r := g.Get("a")
	now := time.Now()
	wait := r.MarkUnreachable(now)
	g.CheckHealth(now.Add(wait))
	gm.Eventually(func() bool { return !r.probing.Load() }, "10s", "1ms").Should(gomega.BeTrue())
	gm.Expect(r.Ejected(now.Add(time.Hour))).To(gomega.BeTrue())

	info := *r.Info()
	info.Address = listener.Addr().String()
	r.info.Store(&info)
	g.CheckHealth(time.Now().Add(maxEjection))
	gm.Eventually(func() bool { return r.Ejected(time.Now()) }, "10s", "1ms").Should(gomega.BeFalse())
	gm.Expect(r.pool.idle).To(gomega.HaveLen(1))
}

// After a partition ends, the first successful probe must make the probes of the
// data centre's other replicas due. Otherwise the data centre stays unused for
// seconds while each replica waits for its own probe.
func TestSuccessfulProbeRestoresDataCentre(t *testing.T) {
	gm := gomega.NewWithT(t)
	g := NewRegistry()
	now := time.Now()
	for _, id := range []core.ReplicaID{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gm.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		g.Put(Info{ID: id, Service: "m", Address: listener.Addr().String(), DataCentre: "x", Slots: 8})
		g.Get(id).MarkUnreachable(now)
	}
	g.Get("a").ejectedUntil.Set(now.Add(-time.Second)) // its probe is due
	g.Get("b").ejectedUntil.Set(now.Add(time.Hour))
	gm.Eventually(func() bool {
		g.CheckHealth(time.Now())
		return g.Get("a").Ejected(time.Now()) || g.Get("b").Ejected(time.Now())
	}, "10s", "1ms").Should(gomega.BeFalse())
}

// A suspicion from another node must not override that this node still receives
// data from the replica.
func TestSuspicionByAnotherNode(t *testing.T) {
	gm := gomega.NewWithT(t)
	_, all, start := newTestRegistry("x", "x")
	all[0].Suspect(start)
	gm.Expect(all[0].Ejected(start)).To(gomega.BeFalse())
	now := start.Add(stallTimeout)
	all[0].Suspect(now)
	gm.Expect(all[0].Ejected(now)).To(gomega.BeTrue())
	gm.Expect(all[0].Ejected(now.Add(baseEjection))).To(gomega.BeFalse())
}
