package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/settings"
)

// deploymentSettings allows up to eight requests to wait.
var deploymentSettings = settings.Deployment{QueueLimit: 8, EjectRatio: 3, EjectDuration: 10 * time.Second}

func onlineRequest(deadline time.Duration) Request {
	return Request{Deployment: deployment, Class: core.ClassOnline, Deadline: time.Now().Add(deadline)}
}

func batchRequest() Request {
	return Request{Deployment: deployment, Class: core.ClassBatch, Due: time.Now().Add(time.Hour), NoWait: true}
}

type result struct {
	slot    Slot
	refusal *core.Refusal
	after   time.Duration
}

// acquireAsync calls Acquire in the background.
func acquireAsync(t *testing.T, n *node, request Request) <-chan result {
	done := make(chan result, 1)
	start := time.Now()
	go func() {
		slot, refusal := n.Acquire(t.Context(), request)
		done <- result{slot, refusal, time.Since(start)}
	}()
	return done
}

// Guards against online work that waits for batch work, and against a preemption
// that does not reach the holder.
func TestOnlinePreemptsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		first := <-acquireAsync(t, n.nodes["b"], batchRequest())
		g.Expect(first.refusal).To(BeNil())
		second := <-acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		g.Expect(second.refusal).To(BeNil())
		g.Expect(second.after).To(Equal(2 * latency))
		<-first.slot.Preempted()
		first.slot.Release(Observation{Cancelled: true})
		second.slot.Release(Observation{Total: time.Millisecond})
		time.Sleep(latency)
		synctest.Wait()
		g.Expect(n.nodes["a"].load(r.ID).InUse).To(BeZero())
	})
}

// Guards against a grant that does not reach the waiter, and against a second
// release that frees the slot of another holder.
func TestWaiterIsGrantedOnRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		first := <-acquireAsync(t, n.nodes["a"], onlineRequest(time.Second))
		second := acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		time.Sleep(100 * time.Millisecond)
		first.slot.Release(Observation{Total: 100 * time.Millisecond})
		first.slot.Release(Observation{Total: 100 * time.Millisecond})
		got := <-second
		g.Expect(got.refusal).To(BeNil())
		time.Sleep(latency)
		g.Expect(n.nodes["a"].load(r.ID).InUse).To(Equal(1))
		got.slot.Release(Observation{})
	})
}

// Guards against a request that waits at one replica while another has a free
// slot, and against a second place in a queue that is not released.
func TestWaitsAtTwoReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, y := replicaOwnedBy("a", "a", "b"), replicaOwnedBy("b", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{x, y}, "a", "b")
		held := map[core.ReplicaID]Slot{}
		for range 2 {
			got := <-acquireAsync(t, n.nodes["a"], onlineRequest(time.Second))
			g.Expect(got.refusal).To(BeNil())
			held[got.slot.Replica()] = got.slot
		}
		for _, free := range []core.ReplicaID{x.ID, y.ID} {
			waiter := acquireAsync(t, n.nodes["a"], onlineRequest(time.Minute))
			time.Sleep(100 * time.Millisecond)
			held[free].Release(Observation{})
			got := <-waiter
			g.Expect(got.refusal).To(BeNil())
			g.Expect(got.slot.Replica()).To(Equal(free))
			held[free] = got.slot
			time.Sleep(2 * latency) // the message that releases the second place
			g.Expect(n.nodes["a"].load(x.ID)).To(And(HaveField("InUse", 1), HaveField("Queued", 0)))
			g.Expect(n.nodes["b"].load(y.ID)).To(And(HaveField("InUse", 1), HaveField("Queued", 0)))
		}
	})
}

// Guards against a slow replica that is detected only when long work ends, and
// against counting its first token twice.
func TestFirstTokenIsReportedBeforeRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := replicaOwnedBy("a", "a", "b")
		n := startNodes(t, deploymentSettings, []directory.Replica{r}, "a", "b")
		got := <-acquireAsync(t, n.nodes["b"], onlineRequest(time.Second))
		got.slot.(FirstTokenReporter).ReportFirstToken(time.Second)
		time.Sleep(2 * latency)
		want := And(HaveField("FirstToken", time.Second), HaveField("Observations", 1))
		g.Expect(n.nodes["a"].load(r.ID)).To(want)
		got.slot.Release(Observation{FirstToken: time.Second, Total: time.Minute, Tokens: 60})
		time.Sleep(2 * latency)
		g.Expect(n.nodes["a"].load(r.ID)).To(want)
	})
}
