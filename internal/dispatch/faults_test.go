package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/owner"
)

// settleTime covers two lists and the grace of an owner.
const settleTime = 3*listInterval + time.Second

// Guards against requests that hang on a silent owner, against batch work that
// no owner can preempt, and against an owner that never learns of the slots
// taken meanwhile.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from != to })

		refused := <-acquire(t, b, batch())
		g.Expect(refused.refusal).To(HaveField("Execution", core.NotRun))
		first := <-acquire(t, b, online(time.Second))
		g.Expect(first.refusal).To(BeNil())
		g.Expect(first.after).To(Equal(acknowledgeTimeout))
		second := <-acquire(t, b, online(time.Second))
		g.Expect(second.refusal).To(HaveField("Code", core.CodeOverloaded))
		g.Expect(second.refusal.Execution).To(Equal(core.NotRun))
		g.Expect(second.refusal.RetryAfter).To(BeNumerically(">", 0))

		n.setDrop(nil)
		time.Sleep(settleTime)
		g.Expect(a.load(r.ID).InUse).To(Equal(1))
		first.slot.Release(Observation{})
		time.Sleep(settleTime)
		g.Expect(a.load(r.ID).InUse).To(BeZero())
	})
}

// Guards against slots that leak when a release is lost, of a held reservation
// and of one whose holder stopped waiting.
func TestLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		n.setDrop(func(_, _ core.NodeID, kind string) bool { return kind == owner.KindRelease })

		held := <-acquire(t, b, online(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, refusal := b.Acquire(ctx, online(time.Minute))
		g.Expect(refusal).To(HaveField("Code", core.CodeCancelled))
		g.Expect(refusal.Execution).To(Equal(core.NotRun))
		held.slot.Release(Observation{})
		time.Sleep(settleTime)
		g.Expect(a.load(r.ID)).To(And(HaveField("InUse", 0), HaveField("Queued", 0)))
	})
}

// Guards against slots that stay taken by a node that is down, and against
// waiters that do not get them.
func TestHolderDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		// The replica keeps its owner when b dies.
		r := ownedBy("a", "a", "b", "c")
		n := start(t, service, []directory.Replica{r}, "a", "b", "c")
		held := <-acquire(t, n.nodes["b"], online(time.Second))
		waiter := acquire(t, n.nodes["c"], online(time.Minute))
		time.Sleep(time.Second)
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from == "b" || to == "b" })
		n.setLive("a", "c")
		got := <-waiter
		g.Expect(got.refusal).To(BeNil())
		g.Expect(n.nodes["a"].load(r.ID).InUse).To(Equal(1))
		got.slot.Release(Observation{})
		held.slot.Release(Observation{})
	})
}

// Guards against a new owner that grants slots already held, and against
// waiters that stay with the old owner.
func TestOwnershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b", "c")
		n := start(t, service, []directory.Replica{r}, "a", "b", "c")
		held := <-acquire(t, n.nodes["b"], online(time.Second))
		waiter := acquire(t, n.nodes["c"], online(time.Minute))
		time.Sleep(time.Second)

		r.InUse = 1 // as the old owner published it
		for _, p := range n.nodes {
			p.replicas.Store(directory.NewView([]directory.Replica{r}))
		}
		n.setLive("b", "c")
		time.Sleep(time.Second)
		id, _ := n.nodes["b"].members.Load().Owner(string(r.ID), dataCentre)
		g.Expect(n.nodes[id].load(r.ID)).To(And(HaveField("InUse", 1), HaveField("Queued", 1)))
		g.Expect(n.nodes["a"].owner.PublishedLoads()).To(BeEmpty())
		g.Expect(waiter).NotTo(Receive())

		held.slot.Release(Observation{})
		got := <-waiter
		g.Expect(got.refusal).To(BeNil())
		got.slot.Release(Observation{})
		time.Sleep(settleTime)
		g.Expect(n.nodes[id].load(r.ID).InUse).To(BeZero())
		g.Expect(n.nodes["a"].owner.Dump().(owner.ServiceDump).Ledgers).To(BeEmpty())
	})
}

// Guards against a waiter that never learns of its grant: while messages from
// the owner are lost it waits, and the owner repeats the grant after that.
func TestOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		first := <-acquire(t, a, online(time.Second))
		patient := acquire(t, b, online(time.Minute))
		time.Sleep(100 * time.Millisecond)
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from == "a" && to == "b" })
		first.slot.Release(Observation{})
		time.Sleep(time.Second)
		g.Expect(a.load(r.ID).InUse).To(Equal(1), "granted, but the holder does not know")
		n.setDrop(nil)
		got := <-patient
		g.Expect(got.refusal).To(BeNil())

		impatient := acquire(t, b, online(time.Second))
		time.Sleep(100 * time.Millisecond)
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from == "a" && to == "b" })
		got.slot.Release(Observation{})
		late := <-impatient
		g.Expect(late.refusal).To(HaveField("Execution", core.NotRun))
		time.Sleep(settleTime)
		g.Expect(a.load(r.ID).InUse).To(BeZero())
	})
}

// Guards against work for a replica that is leaving: its waiters go elsewhere.
func TestLeavingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		held := <-acquire(t, n.nodes["b"], online(time.Second))
		waiter := acquire(t, n.nodes["b"], online(time.Minute))
		time.Sleep(100 * time.Millisecond)
		r.State = directory.StateLeaving
		other := ownedBy("b", "a", "b")
		for _, p := range n.nodes {
			p.replicas.Store(directory.NewView([]directory.Replica{r, other}))
		}
		got := <-waiter
		g.Expect(got.refusal).To(BeNil())
		g.Expect(got.slot.Replica()).To(Equal(other.ID))
		got.slot.Release(Observation{})
		held.slot.Release(Observation{})
	})
}
