package replica

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// fleet is a registry of replicas with answers under way, all heard at start.
func fleet(dcs ...core.DataCentre) (*Registry, []*Replica, time.Time) {
	g := NewRegistry()
	start := time.Now()
	var all []*Replica
	for i, dc := range dcs {
		id := core.ReplicaID(string(rune('a' + i)))
		g.Put(Info{ID: id, Service: "m", Address: "127.0.0.1:1", DataCentre: dc, Slots: 8})
		r := g.Get(id)
		r.answering.Add(1)
		r.heard.Set(start)
		all = append(all, r)
	}
	return g, all, start
}

// Guards against requests that are lost, one after the other, at a replica that
// crashed without a sign.
func TestSilentReplicaIsAvoided(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := fleet("x", "x", "x")
	now := start.Add(silentAfter)
	all[1].heard.Set(now)
	all[2].heard.Set(now)
	gm.Expect(g.Review(now)).To(gomega.Equal(all[:1]))
	gm.Expect(all[0].Avoided(now.Add(time.Hour))).To(gomega.BeTrue())
	gm.Expect(all[1].Avoided(now)).To(gomega.BeFalse())
	gm.Expect(g.Review(now)).To(gomega.BeEmpty()) // told once

	// A replica without answers under way is not judged by its silence.
	all[1].answering.Add(-1)
	later := now.Add(silentAfter)
	all[2].heard.Set(later)
	gm.Expect(g.Review(later)).To(gomega.BeEmpty())
}

// Guards against a node that stood still itself and blames every replica.
func TestSilenceOfAllIsTheNodesOwn(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := fleet("x", "y", "y")
	now := start.Add(time.Second)
	gm.Expect(g.Review(now)).To(gomega.BeEmpty())
	gm.Expect(all[0].Avoided(now)).To(gomega.BeFalse())
}

// Guards against requests that are lost at each replica of a data centre in
// turn after it was cut off.
func TestDataCentreThatIsCutOff(t *testing.T) {
	gm := gomega.NewWithT(t)
	g, all, start := fleet("x", "x", "y", "y", "y")
	now := start.Add(silentAfter)
	all[0].heard.Set(now)
	all[1].heard.Set(now)
	all[4].answering.Add(-1) // not in use, but as much cut off
	gm.Expect(g.Review(now)).To(gomega.ConsistOf(all[2], all[3], all[4]))
	gm.Expect(all[0].Avoided(now)).To(gomega.BeFalse())
	chosen := g.Choose(&Query{Service: "m", DataCentre: "y", Now: now})
	gm.Expect(chosen.Info().DataCentre).To(gomega.Equal(core.DataCentre("x")))
}

// Guards against a replica that is avoided for good, and against one that
// callers' requests have to try.
func TestUnreachableReplicaReturnsByAConnection(t *testing.T) {
	gm := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	g := NewRegistry()
	g.Put(Info{ID: "a", Service: "m", Address: "127.0.0.1:1", Slots: 8}) // nothing listens there
	r := g.Get("a")
	now := time.Now()
	wait := r.Unreachable(now)
	g.Review(now.Add(wait))
	gm.Eventually(func() bool { return !r.trying.Load() }, "10s", "1ms").Should(gomega.BeTrue())
	gm.Expect(r.Avoided(now.Add(time.Hour))).To(gomega.BeTrue())

	info := *r.Info()
	info.Address = listener.Addr().String()
	r.info.Store(&info)
	g.Review(time.Now().Add(suspicionMax))
	gm.Eventually(func() bool { return r.Avoided(time.Now()) }, "10s", "1ms").Should(gomega.BeFalse())
	gm.Expect(r.pool.idle).To(gomega.HaveLen(1))
}

// Guards against a data centre that stays unused for seconds after a cut has
// ended, because each of its replicas waits for its own trial.
func TestDataCentreThatIsBackIsTriedAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	g := NewRegistry()
	now := time.Now()
	for _, id := range []core.ReplicaID{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gm.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		g.Put(Info{ID: id, Service: "m", Address: listener.Addr().String(), DataCentre: "x", Slots: 8})
		g.Get(id).Unreachable(now)
	}
	g.Get("a").avoidedUntil.Set(now.Add(-time.Second)) // its trial is due
	g.Get("b").avoidedUntil.Set(now.Add(time.Hour))
	gm.Eventually(func() bool {
		g.Review(time.Now())
		return g.Get("a").Avoided(time.Now()) || g.Get("b").Avoided(time.Now())
	}, "10s", "1ms").Should(gomega.BeFalse())
}

// Guards against the word of another node that goes before what this node hears.
func TestSuspicionOfAnotherNode(t *testing.T) {
	gm := gomega.NewWithT(t)
	_, all, start := fleet("x", "x")
	all[0].Suspect(start)
	gm.Expect(all[0].Avoided(start)).To(gomega.BeFalse())
	now := start.Add(silentAfter)
	all[0].Suspect(now)
	gm.Expect(all[0].Avoided(now)).To(gomega.BeTrue())
	gm.Expect(all[0].Avoided(now.Add(suspicionBase))).To(gomega.BeFalse())
}
