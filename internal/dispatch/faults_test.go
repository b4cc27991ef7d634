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

// syncTime is long enough for an owner to drop a reservation that is missing from
// its holder's lists: the grace of one second and two lists.
const syncTime = 3*syncInterval + time.Second

// Guards against requests that block on an unresponsive owner, against batch work
// that no owner can preempt, and against an owner that never records the slots
// taken without it.
func TestUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from != to })

		refused := <-acquireAsync(t, b, batchRequest())
		g.Expect(refused.refusal).To(HaveField("Execution", core.NotRun))
		first := <-acquireAsync(t, b, onlineRequest(time.Second))
		g.Expect(first.refusal).To(BeNil())
		g.Expect(first.after).To(Equal(reserveTimeout))
		second := <-acquireAsync(t, b, onlineRequest(time.Second))
		g.Expect(second.refusal).To(HaveField("Code", core.CodeOverloaded))
		g.Expect(second.refusal.Execution).To(Equal(core.NotRun))
		g.Expect(second.refusal.RetryAfter).To(BeNumerically(">", 0))

		n.setDrop(nil)
		time.Sleep(syncTime)
		g.Expect(a.load(r.ID).InUse).To(Equal(1))
		first.slot.Release(Observation{})
		time.Sleep(syncTime)
		g.Expect(a.load(r.ID).InUse).To(BeZero())
	})
}

// Guards against slots that leak when the release of a held reservation, or of a
// waiting one that is cancelled, is lost.
func TestLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		n.setDrop(func(_, _ core.NodeID, kind string) bool { return kind == owner.KindRelease })

		held := <-acquireAsync(t, b, onlineRequest(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, refusal := b.Acquire(ctx, onlineRequest(time.Minute))
		g.Expect(refusal).To(HaveField("Code", core.CodeCancelled))
		g.Expect(refusal.Execution).To(Equal(core.NotRun))
		held.slot.Release(Observation{})
		time.Sleep(syncTime)
		g.Expect(a.load(r.ID)).To(And(HaveField("InUse", 0), HaveField("Queued", 0)))
	})
}

// Guards against slots that remain held by a node that is down, so that waiters
// never get them.
func TestHolderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		// The replica keeps its owner when b goes down.
		r := replicaOwnedBy("a", "a", "b", "c")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b", "c")
		held := <-acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		waiter := acquireAsync(t, n.nodes["c"], onlineRequest(time.Minute))
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
// waiters that remain in the queue of the previous owner.
func TestOwnershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b", "c")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b", "c")
		held := <-acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		waiter := acquireAsync(t, n.nodes["c"], onlineRequest(time.Minute))
		time.Sleep(time.Second)

		r.InUse = 1 // as the previous owner published it
		for _, p := range n.nodes {
			p.replicas.Store(directory.NewView([]directory.Replica{r}))
		}
		n.setLive("b", "c")
		time.Sleep(time.Second)
		id, _ := n.nodes["b"].members.Load().Owner(string(r.ID), dataCentre)
		g.Expect(n.nodes[id].load(r.ID)).To(And(HaveField("InUse", 1), HaveField("Queued", 1)))
		g.Expect(n.nodes["a"].owner.Loads()).To(BeEmpty())
		g.Expect(waiter).NotTo(Receive())

		held.slot.Release(Observation{})
		got := <-waiter
		g.Expect(got.refusal).To(BeNil())
		got.slot.Release(Observation{})
		time.Sleep(syncTime)
		g.Expect(n.nodes[id].load(r.ID).InUse).To(BeZero())
		g.Expect(n.nodes["a"].owner.Dump().(owner.ServiceDump).Ledgers).To(BeEmpty())
	})
}

// Guards against a waiter that never receives its grant because messages from the
// owner are lost. The owner must repeat the grant when messages arrive again.
func TestOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		a, b := n.nodes["a"], n.nodes["b"]
		first := <-acquireAsync(t, a, onlineRequest(time.Second))
		longWaiter := acquireAsync(t, b, onlineRequest(time.Minute))
		time.Sleep(100 * time.Millisecond)
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from == "a" && to == "b" })
		first.slot.Release(Observation{})
		time.Sleep(time.Second)
		g.Expect(a.load(r.ID).InUse).To(Equal(1), "granted, but the holder has not received the grant")
		n.setDrop(nil)
		got := <-longWaiter
		g.Expect(got.refusal).To(BeNil())

		shortWaiter := acquireAsync(t, b, onlineRequest(time.Second))
		time.Sleep(100 * time.Millisecond)
		n.setDrop(func(from, to core.NodeID, _ string) bool { return from == "a" && to == "b" })
		got.slot.Release(Observation{})
		expired := <-shortWaiter
		g.Expect(expired.refusal).To(HaveField("Execution", core.NotRun))
		time.Sleep(syncTime)
		g.Expect(a.load(r.ID).InUse).To(BeZero())
	})
}

// Guards against waiters that stay in the queue of a replica that is leaving,
// instead of getting a slot on another one.
func TestLeavingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		held := <-acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		waiter := acquireAsync(t, n.nodes["b"], onlineRequest(time.Minute))
		time.Sleep(100 * time.Millisecond)
		r.State = directory.StateLeaving
		other := replicaOwnedBy("b", "a", "b")
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
