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

// service lets some requests wait.
var service = settings.Service{QueueLimit: 8, EjectRatio: 3, EjectDuration: 10 * time.Second}

func online(deadline time.Duration) Ask {
	return Ask{Deployment: deployment, Class: core.ClassOnline, Deadline: time.Now().Add(deadline)}
}

func batch() Ask {
	return Ask{Deployment: deployment, Class: core.ClassBatch, Due: time.Now().Add(time.Hour), NoWait: true}
}

type result struct {
	slot    Slot
	refusal *core.Refusal
	after   time.Duration
}

// acquire asks in the background.
func acquire(t *testing.T, p *node, ask Ask) <-chan result {
	done := make(chan result, 1)
	begun := time.Now()
	go func() {
		slot, refusal := p.Acquire(t.Context(), ask)
		done <- result{slot, refusal, time.Since(begun)}
	}()
	return done
}

// Guards against online work that waits behind batch work, and against a
// preemption that does not reach the holder.
func TestOnlinePreemptsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		first := <-acquire(t, n.nodes["b"], batch())
		g.Expect(first.refusal).To(BeNil())
		second := <-acquire(t, n.nodes["b"], online(time.Second))
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

// Guards against a grant that is lost to a waiter and against a second release
// that frees the slot of another holder.
func TestWaiterIsGrantedOnRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ownedBy("a", "a", "b")
		n := start(t, service, []directory.Replica{r}, "a", "b")
		first := <-acquire(t, n.nodes["a"], online(time.Second))
		second := acquire(t, n.nodes["b"], online(time.Second))
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
