package limit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against retries beyond the share of successes, which multiply the
// load when backend servers fail, and against none at all on a quiet node.
func TestBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := NewRetryBudget(now)
	taken := func(tries int) (n int) {
		for range tries {
			if b.Take(now) {
				n++
			}
		}
		return n
	}
	g.Expect(taken(10)).To(Equal(1))
	for range 50 {
		b.RecordSuccess(0.1)
	}
	g.Expect(taken(10)).To(Equal(5))
	now = now.Add(2 * time.Second)
	g.Expect(taken(10)).To(Equal(2))
	now = now.Add(-time.Second)
	g.Expect(taken(10)).To(BeZero(), "time that goes back gives nothing")
	now = now.Add(time.Hour)
	g.Expect(taken(100)).To(Equal(int(budgetBurst)))
}

// Guards against an organisation that exceeds its bound or that loses part of
// it for good.
func TestInFlight(t *testing.T) {
	g := NewWithT(t)
	f := NewInFlightLimiter()
	for range 3 {
		g.Expect(f.Acquire("x", 2)).To(BeTrue())
		g.Expect(f.Acquire("x", 2)).To(BeTrue())
		g.Expect(f.Acquire("x", 2)).To(BeFalse())
		g.Expect(f.Acquire("y", 2)).To(BeTrue())
		f.Release("x")
		f.Release("x")
		f.Release("y")
	}
	g.Expect(f.Counts()).To(BeEmpty())
	g.Expect(f.Acquire("x", 0)).To(BeTrue())
}
