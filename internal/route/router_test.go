package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/settings"
)

var epoch = time.Unix(1_000_000, 0)

func newReplica(i int, dc core.DataCentre) directory.Replica {
	return directory.Replica{
		ID: core.ReplicaID(fmt.Sprintf("r%d", i)), Deployment: "d", DataCentre: dc, Region: "luzon", Slots: 8,
	}
}

func newReplicas(n int) []directory.Replica {
	var list []directory.Replica
	for i := range n {
		list = append(list, newReplica(i, "luzon-a"))
	}
	return list
}

func newTestRouter(list []directory.Replica) *Router {
	r := NewRouter("luzon-a", "luzon")
	r.Update(directory.NewView(list), settings.NewSnapshot(settings.SnapshotInput{}))
	return r
}

// allowedReplicas returns all replicas that a correct choice may return. It is
// the test oracle, which applies each rule of the choice separately.
func allowedReplicas(list []directory.Replica, r *Router, q Query) map[core.ReplicaID]bool {
	t := r.table.Load()
	var local, remote, ejected, ejectedRemote []*Replica
	for _, info := range list {
		rep := t.replicas[info.ID]
		excluded := false
		for _, id := range q.Exclude {
			excluded = excluded || id == info.ID
		}
		switch {
		case info.State != directory.StateUp || info.Region != "luzon" || info.Slots == 0 || excluded:
		case rep.state.ejectedUntil.Load() != 0 && info.DataCentre == "luzon-a":
			ejected = append(ejected, rep)
		case rep.state.ejectedUntil.Load() != 0:
			ejectedRemote = append(ejectedRemote, rep)
		case info.DataCentre == "luzon-a":
			local = append(local, rep)
		default:
			remote = append(remote, rep)
		}
	}
	anyFreeSlot := func(list []*Replica) bool {
		for _, rep := range list {
			if rep.HasFreeSlot(q.Class) {
				return true
			}
		}
		return false
	}
	candidates := local
	if len(local) == 0 || (!anyFreeSlot(local) && anyFreeSlot(remote)) {
		candidates = remote
	}
	if len(local)+len(remote) == 0 {
		candidates = ejected
		if len(ejected) == 0 {
			candidates = ejectedRemote
		}
	}
	allowed := make(map[core.ReplicaID]bool)
	for _, rep := range candidates {
		allowed[rep.ID()] = true
	}
	// The most loaded replica is never the less loaded of two, so only prefix
	// affinity may choose it.
	for _, rep := range candidates {
		worst := len(candidates) > 1
		for _, other := range candidates {
			worst = worst && (other == rep || lessLoaded(other, rep, q.Class))
		}
		if worst && q.PrefixHash == 0 {
			allowed[rep.ID()] = false
		}
	}
	return allowed
}

// Guards against choosing a replica that is leaving, down, excluded, ejected or
// in another region, against using another data centre without need, and against
// choosing the most loaded replica. Compares choices with an oracle.
func TestChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []directory.Replica
		for i := range rapid.IntRange(0, 8).Draw(t, "replicas") {
			info := newReplica(i, rapid.SampledFrom([]core.DataCentre{"luzon-a", "luzon-a", "luzon-b"}).Draw(t, "dc"))
			info.State = directory.State(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))
			info.Slots = rapid.SampledFrom([]int{0, 1, 4, 8}).Draw(t, "slots")
			if rapid.IntRange(0, 5).Draw(t, "elsewhere") == 0 {
				info.Region = "bengal-east"
			}
			list = append(list, info)
		}
		r := newTestRouter(list)
		for _, info := range list {
			rep := r.table.Load().replicas[info.ID]
			rep.SetLoad(rapid.IntRange(0, 10).Draw(t, "online"), rapid.IntRange(0, 3).Draw(t, "batch"))
			if rapid.IntRange(0, 4).Draw(t, "ejected") == 0 {
				rep.state.ejectedUntil.Store(epoch.Add(time.Hour).UnixNano())
			}
		}
		q := Query{
			Deployment: "d", Now: epoch, Random: rapid.Uint64().Draw(t, "random"),
			Class:      core.Class(rapid.IntRange(0, 1).Draw(t, "class")),
			PrefixHash: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
			Exclude:    []core.ReplicaID{"r1", "r3"}[:rapid.IntRange(0, 2).Draw(t, "excluded")],
		}
		allowed := allowedReplicas(list, r, q)
		got := r.Choose(q)
		if got.Replica == nil && len(allowed) > 0 {
			t.Fatalf("chose no replica, allowed are %v", allowed)
		}
		if got.Replica != nil && !allowed[got.Replica.ID()] {
			t.Fatalf("chose %s, allowed are %v", got.Replica.ID(), allowed)
		}
	})
}

// Guards against prefix affinity that overloads one replica, that changes when
// other replicas leave, or that applies to replicas of other data centres.
func TestPrefixAffinity(t *testing.T) {
	g := NewWithT(t)
	list := newReplicas(10)
	r := newTestRouter(list)
	q := Query{Deployment: "d", PrefixHash: 7, Now: epoch}
	first := r.Choose(q).Replica
	for i := range list {
		if list[i].ID != first.ID() && i%2 == 0 {
			list[i].State = directory.StateLeaving
		}
	}
	r.Update(directory.NewView(list), settings.NewSnapshot(settings.SnapshotInput{}))
	for i := range 20 {
		q.Random = uint64(i) * 0x9E3779B97F4A7C15
		g.Expect(r.Choose(q).Replica.ID()).To(Equal(first.ID()))
	}
	first.SetLoad(3, 0)
	g.Expect(r.Choose(q).Replica.ID()).NotTo(Equal(first.ID()))

	r = newTestRouter([]directory.Replica{newReplica(1, "luzon-b"), newReplica(2, "luzon-b")})
	chosen := make(map[core.ReplicaID]bool)
	for i := range 20 {
		q.Random = uint64(i) * 0x9E3779B97F4A7C15
		c := r.Choose(q).Replica
		chosen[c.ID()] = true
	}
	g.Expect(chosen).To(HaveLen(2))
}

// observeAll records n requests of each replica. Those of slow replicas take five
// times as long.
func observeAll(r *Router, n, replicas int, slow func(int) bool) {
	for range n {
		for i := range replicas {
			o := Observation{FirstToken: 100 * time.Millisecond, Total: time.Second, Tokens: 10}
			if slow(i) {
				o.FirstToken, o.Total = 5*o.FirstToken, 5*o.Total
			}
			o.EjectRatio, o.EjectDuration, o.Now = 3, 10*time.Second, epoch
			r.Observe(newReplica(i, "").ID, o)
		}
	}
}

func ejectedIDs(r *Router) (ids []core.ReplicaID) {
	for id, rep := range r.table.Load().replicas {
		if rep.state.ejectedUntil.Load() != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against slow or failing replicas that keep their share of the work, and
// against ejecting so many that the others are overloaded.
func TestEjectionByLatencyAndFailures(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(newReplicas(12))
	observeAll(r, minObservations+1, 12, func(i int) bool { return i < 2 })
	g.Expect(ejectedIDs(r)).To(ConsistOf(core.ReplicaID("r0"), core.ReplicaID("r1")))

	r = newTestRouter(newReplicas(12))
	observeAll(r, minObservations+1, 12, func(int) bool { return false })
	g.Expect(ejectedIDs(r)).To(BeEmpty())
	for range 3 {
		for i := range 8 {
			r.Observe(newReplica(i, "").ID, Observation{Failed: true, EjectDuration: time.Second, Now: epoch})
		}
	}
	g.Expect(ejectedIDs(r)).To(HaveLen(4))
}

// Guards against ejecting a healthy replica because of one long request or one
// cancelled early, and against a slow replica that is not detected because its
// hedged requests are cancelled.
func TestMisleadingObservations(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(newReplicas(6))
	observeAll(r, minObservations+1, 6, func(int) bool { return false })
	o := Observation{Total: 20 * time.Second, FirstToken: 2 * time.Second, Tokens: 10, EjectRatio: 3, Now: epoch}
	r.Observe("r0", o)
	r.Observe("r1", Observation{Cancelled: true, Total: time.Millisecond, EjectRatio: 3, Now: epoch})
	g.Expect(ejectedIDs(r)).To(BeEmpty())
	for range 10 {
		r.Observe("r2", Observation{Cancelled: true, Total: 500 * time.Millisecond, EjectRatio: 3, EjectDuration: time.Second, Now: epoch})
	}
	g.Expect(ejectedIDs(r)).To(ConsistOf(core.ReplicaID("r2")))
}

// Guards against an ejected replica that gets more than one probe at a time, is
// readmitted too early or never, or is not ejected for longer after a failed
// probe.
func TestReadmissionByProbes(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(newReplicas(3))
	observeAll(r, minObservations+1, 3, func(i int) bool { return i == 0 })
	g.Expect(ejectedIDs(r)).To(ConsistOf(core.ReplicaID("r0")))
	q := Query{Deployment: "d", Class: core.ClassBatch, Now: epoch.Add(10*time.Second - 1)}
	g.Expect(r.Choose(q).Probe).To(BeFalse())

	q.Now = epoch.Add(10 * time.Second)
	slow := Observation{FirstToken: 500 * time.Millisecond, Total: time.Second, Tokens: 10, Probe: true, EjectRatio: 3, EjectDuration: 10 * time.Second, Now: q.Now}
	g.Expect(r.Choose(q).Probe).To(BeTrue())
	g.Expect(r.Choose(q).Probe).To(BeFalse(), "one probe at a time")
	r.Observe("r0", slow)
	q.Now = q.Now.Add(20*time.Second - 1)
	g.Expect(r.Choose(q).Probe).To(BeFalse(), "twice the ejection duration after a failed probe")

	q.Now = q.Now.Add(1)
	good := slow
	good.FirstToken, good.Now = 100*time.Millisecond, q.Now
	for range probesToReadmit {
		g.Expect(ejectedIDs(r)).To(HaveLen(1))
		c := r.Choose(q)
		g.Expect(c.Probe).To(BeTrue())
		r.Observe(c.Replica.ID(), good)
	}
	g.Expect(ejectedIDs(r)).To(BeEmpty())
}

// Guards against nodes that eject a slow replica only after several requests of
// their own, and against observations from before its readmission that eject it
// again.
func TestOwnerReport(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(newReplicas(6))
	report := func(id core.ReplicaID, first time.Duration, n int) {
		r.ApplyReport(id, Report{FirstToken: first, Observations: n, EjectRatio: 3, EjectDuration: time.Second, Now: epoch})
	}
	for i := range 5 {
		report(newReplica(i, "").ID, 100*time.Millisecond, 20)
	}
	report("r5", 500*time.Millisecond, 20)
	g.Expect(ejectedIDs(r)).To(ConsistOf(core.ReplicaID("r5")))
	later := epoch.Add(time.Minute)
	for range probesToReadmit {
		r.Observe("r5", Observation{FirstToken: 100 * time.Millisecond, Total: time.Second, Tokens: 10, Probe: true, EjectRatio: 3, Now: later})
	}
	report("r5", 500*time.Millisecond, 20)
	g.Expect(ejectedIDs(r)).To(BeEmpty())
}

// Guards against a new view with an unchanged load that resets the estimate.
func TestEstimateSurvivesUnchangedLoad(t *testing.T) {
	g := NewWithT(t)
	list := newReplicas(1)
	list[0].InUse, list[0].Batch, list[0].Queued = 5, 2, 1
	r := newTestRouter(list)
	rep := r.Choose(Query{Deployment: "d", Now: epoch}).Replica
	rep.AddRequest(core.ClassOnline)
	r.Update(directory.NewView(list), settings.NewSnapshot(settings.SnapshotInput{}))
	online, batch := r.Choose(Query{Deployment: "d", Now: epoch}).Replica.Estimate()
	g.Expect([]int{online, batch}).To(Equal([]int{5, 2}))
	list[0].InUse = 3
	r.Update(directory.NewView(list), settings.NewSnapshot(settings.SnapshotInput{}))
	online, _ = rep.Estimate()
	g.Expect(online).To(Equal(2))
}

// Guards against requests that are refused right after a node has started: one of ten that
// came at once met the table from before the first replicas were known, as another of them
// was still building the next one.
func TestChoiceWaitsForTheFirstReplicas(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(nil)
	snapshot := settings.NewSnapshot(settings.SnapshotInput{})
	view, q := directory.NewView(newReplicas(2)), Query{Deployment: "d", Now: epoch}
	r.mu.Lock() // another caller builds the table
	chosen := make(chan *Replica)
	go func() { chosen <- r.ChooseFrom(view, snapshot, q).Replica }()
	g.Consistently(chosen, "50ms").ShouldNot(Receive())
	r.mu.Unlock()
	g.Eventually(chosen).Should(Receive(Not(BeNil())))

	r.mu.Lock()
	go func() { chosen <- r.ChooseFrom(directory.NewView(newReplicas(3)), snapshot, q).Replica }()
	g.Eventually(chosen).Should(Receive(Not(BeNil())), "the table before has replicas")
	r.mu.Unlock()
}

// Guards against allocations on the request path.
func TestChooseAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(newReplicas(150))
	q := Query{Deployment: "d", PrefixHash: 42, Exclude: []core.ReplicaID{"r3"}, Now: epoch}
	g.Expect(testing.AllocsPerRun(100, func() {
		q.Random += 0x9E3779B97F4A7C15
		r.Choose(q)
	})).To(BeZero())
}

func BenchmarkChoose150(b *testing.B) {
	r := newTestRouter(newReplicas(150))
	random := rand.New(rand.NewPCG(1, 2))
	for _, rep := range r.table.Load().replicas {
		rep.SetLoad(random.IntN(8), random.IntN(3))
	}
	for _, c := range []struct {
		name   string
		prefix uint64
	}{{"prefix", 42}, {"random", 0}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			q := Query{Deployment: "d", PrefixHash: c.prefix, Exclude: []core.ReplicaID{"r3"}, Now: epoch}
			for i := range b.N {
				q.Random = uint64(i) * 0x9E3779B97F4A7C15
				q.PrefixHash *= 3
				r.Choose(q)
			}
		})
	}
}
