package quota

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Load: requests that were admitted find no server, and are sent again.
func TestReturnedRequestsAreAdmittedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 1, 20)
		f := newSimFleet(t, 1, []int{2, 2, 2}, org)
		defer f.stop()
		time.Sleep(2 * warmUp)
		node := f.nodes[f.ids[0]]
		var admitted []forward.QuotaDecision
		for range 40 {
			if d, _ := f.request(org, node); d.Admitted {
				admitted = append(admitted, d)
			}
		}
		g.Expect(len(admitted)).To(gomega.BeNumerically(">=", 20))
		for _, d := range admitted {
			node.process.Load().service.Return(org, d, time.Now())
		}
		time.Sleep(time.Second)
		again := 0
		for range 40 {
			if d, _ := f.request(org, node); d.Admitted {
				again++
			}
		}
		g.Expect(again).To(gomega.BeNumerically(">=", len(admitted)*8/10))
	})
}

// Load: a caller beyond the limit waits as it was told, while nobody else asks.
func TestRetryAfterHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 2, 2)
		f := newSimFleet(t, 1, []int{3, 3, 3}, org)
		defer f.stop()
		time.Sleep(warmUp)
		refusals := 0
		for range 60 {
			d, _ := f.request(org, f.nodes[f.any()()])
			if !d.Admitted {
				refusals++
				time.Sleep(d.RetryAfter)
				d, _ = f.request(org, f.nodes[f.any()()])
				g.Expect(d.Admitted).To(gomega.BeTrue(), "after the time to retry")
			}
		}
		g.Expect(refusals).To(gomega.BeNumerically(">", 10))
	})
}

// Load: an owner with a full ledger was stopped for 3 s and wakes. Another has leased the
// share meanwhile.
func TestWokenOwnerHoldsNextToNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 1, 60)
		f := newSimFleet(t, 1, []int{3}, org)
		defer f.stop()
		time.Sleep(2 * time.Minute)
		service := f.nodes[f.ids[0]].process.Load().service
		owner := f.nodes[service.candidates().owners(org.Name, "dc-0")[0]].process.Load().service
		g.Expect(owner.Snapshot()[0].Left).To(gomega.BeNumerically(">=", 60))
		owner.wake(time.Now().Add(3 * time.Second))
		g.Expect(owner.Snapshot()[0].Left).To(gomega.BeNumerically("<=", startLevel))
	})
}

// Load: an owner stops as planned while callers send as much as the limit allows.
func TestPlannedStopOfAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		org := simOrg("a", 40, 20)
		f := newSimFleet(t, 9, []int{4, 4, 4}, org)
		defer f.stop()
		time.Sleep(warmUp)
		var stopping sync.WaitGroup
		stopping.Go(func() {
			time.Sleep(3 * time.Second)
			service := f.nodes[f.ids[0]].process.Load().service
			owner := f.nodes[service.candidates().owners(org.Name, "dc-0")[0]]
			owner.process.Load().service.Stop(t.Context())
		})
		f.send(org, 36, 10*time.Second, f.any())
		stopping.Wait()
		f.checkRule(org, time.Time{})
		f.checkServed(org, 0.98)
	})
}

// Load: organisations without a limit, in a fleet that knows none with one.
func TestNothingRunsWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 0, 0)
		f := newSimFleet(t, 1, []int{2, 2, 2}, org)
		defer f.stop()
		time.Sleep(warmUp)
		d, _ := f.request(org, f.nodes[f.ids[0]])
		g.Expect(d.Admitted).To(gomega.BeTrue())
		time.Sleep(warmUp)
		g.Expect(f.calls.Load()).To(gomega.BeZero(), "messages")
	})
}

// Load: the requests of a large organisation at one node, within its limit.
func BenchmarkAdmit(b *testing.B) {
	s := &Service{counters: newCounters(nil)}
	org := &routetable.Organisation{Name: "a", RequestsPerSecond: 1e9, Burst: 1e9}
	now := time.Now()
	a := &nodeAccount{org: "a"}
	a.leases[1] = lease{left: 1 << 60, at: now}
	s.accounts.Store(&map[core.Org]*nodeAccount{"a": a})
	b.ReportAllocs()
	for b.Loop() {
		if !s.Admit(org, now).Admitted {
			b.Fatal("refused")
		}
	}
}

// Load: a request comes when the limit is used up, and the next turn is a few ms ahead.
func TestRequestWaitsForATurnThatIsNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		org := simOrg("a", 50, 0)
		f := newSimFleet(t, 1, []int{1}, org)
		defer f.stop()
		time.Sleep(warmUp)
		for range 20 {
			f.request(org, f.nodes[f.ids[0]])
		}
		time.Sleep(leaseTime + 2*slotTime) // the leases are over
		began := time.Now()
		for range 40 {
			d, _ := f.request(org, f.nodes[f.ids[0]])
			g.Expect(d.Admitted).To(gomega.BeTrue())
		}
		g.Expect(time.Since(began)).To(gomega.BeNumerically("~", 700*time.Millisecond, 200*time.Millisecond))
		f.checkRule(org, began)
	})
}
