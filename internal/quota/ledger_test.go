package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ledgerAt returns a ledger that has been idle for a while, and the time.
func ledgerAt(limit Limit, right Right) (*Ledger, time.Time) {
	start := time.Now()
	l := NewLedger(limit, right, start)
	now := start.Add(time.Minute)
	l.advance(now)
	return l, now
}

// Load: callers of an organisation stay away for a minute, and come all at once.
func TestLedgerHoldsTheBurst(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 10, Burst: 30}, dataCentreRight(1))
	leased := l.Lease(100, 0, now)
	g.Expect(leased).To(gomega.BeNumerically(">=", 30))
	g.Expect(leased).To(gomega.BeNumerically("<=", 30+ledgerSpare+3))
	g.Expect(l.Lease(100, 0, now)).To(gomega.BeZero())
	g.Expect(l.Wait(1, now)).To(gomega.BeNumerically("~", 100*time.Millisecond, 50*time.Millisecond))
}

// Load: an owner that has just started is asked for all that it may lease.
func TestNewLedgerHoldsNextToNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	l := NewLedger(Limit{PerSecond: 10, Burst: 30}, dataCentreRight(3), now)
	g.Expect(l.Lease(100, 0, now)).To(gomega.Equal(startLevel))
}

// Load: nodes ask for all there is every 10 ms, for a minute, and give it back unused when
// the lease is over.
func TestLedgerCountsReturnsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 10, Burst: 30}, dataCentreRight(1))
	var held []lease
	out := 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		for len(held) > 0 && held[0].over(now) {
			l.Return(held[0].left, now.Sub(held[0].at), now)
			out -= held[0].left
			held = held[1:]
		}
		n := l.Lease(1000, 0, now)
		held, out = append(held, lease{n, now}), out+n
		g.Expect(out).To(gomega.BeNumerically("<=", 30+ledgerSpare+3))
	}
}

// Load: requests wait for seconds and are refused then, again and again, while as many
// arrive as the limit allows.
func TestLateReturnsStayWithinTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{PerSecond: 20, Burst: 20}
	l, now := ledgerAt(limit, dataCentreRight(1))
	type leased struct {
		at time.Time
		n  int
	}
	var held, run []leased
	for step := range 600 {
		now = now.Add(50 * time.Millisecond)
		for len(held) > 0 && now.Sub(held[0].at) > window-100*time.Millisecond {
			l.Return(held[0].n, now.Sub(held[0].at), now)
			held = held[1:]
		}
		n := l.Lease(100, 0, now)
		if step%200 < 100 {
			held = append(held, leased{now, n}) // refused after almost 5 s
		} else {
			run = append(run, leased{now, n})
		}
	}
	for i := range run {
		sum := 0
		for _, r := range run[i:] {
			if r.at.Sub(run[i].at) <= window {
				sum += r.n
			}
		}
		g.Expect(sum).To(gomega.BeNumerically("<=", allowed(limit.PerSecond, limit.Burst)))
	}
}

// Load: a request is refused by the servers, and sent again.
func TestLedgerTakesBackWhatWasNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 1, Burst: 10}, dataCentreRight(1))
	n := l.Lease(100, 0, now)
	g.Expect(l.Lease(1, 0, now)).To(gomega.BeZero())
	now = now.Add(leaseTime)
	g.Expect(l.Return(5, leaseTime, now)).To(gomega.BeNumerically(">", 4))
	g.Expect(l.Lease(100, 0, now)).To(gomega.BeNumerically(">=", 5))
	g.Expect(l.Return(n, window+time.Second, now)).To(gomega.BeZero(), "of before the window")
}

// Load: the clock of an owner goes back and jumps ahead.
func TestLedgerAndClockSteps(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 10, Burst: 30}, dataCentreRight(1))
	l.Lease(100, 0, now)
	g.Expect(l.Lease(100, 0, now.Add(-time.Hour))).To(gomega.BeZero())
	g.Expect(l.Return(1, -time.Hour, now)).To(gomega.BeNumerically("<=", 1))
	g.Expect(l.Lease(1000, 0, now.Add(time.Hour))).To(gomega.BeNumerically("<=", 30+ledgerSpare+3))
}

// Load: nodes expect requests that don't come. Half of what is left stays for others.
func TestAdvanceLeavesHalf(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 10, Burst: 30}, dataCentreRight(1))
	first := l.Lease(0, 100, now)
	g.Expect(first).To(gomega.BeNumerically("<=", 18))
	g.Expect(l.Lease(100, 0, now)).To(gomega.BeNumerically(">=", first-1))
}

// Load: the callers of one data centre ask beyond its share, those of another don't.
func TestPassKeepsWhatIsAskedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 30, Burst: 30}, dataCentreRight(3))
	l.Lease(4, 0, now)
	left := l.available()
	passed := l.Pass(100, now)
	g.Expect(passed).To(gomega.BeNumerically("~", left-4, 0.01))
	g.Expect(l.Pass(100, now)).To(gomega.BeNumerically("~", 0, 0.01))
	other := NewLedger(l.limit, l.right, now)
	other.Receive(passed, now)
	g.Expect(other.Lease(100, 0, now)).To(gomega.Equal(int(passed) + startLevel))
}

// Load: as many requests as the limit allows, and the limit falls to a tenth.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 100, Burst: 100}, dataCentreRight(1))
	l.Set(Limit{PerSecond: 10, Burst: 10}, dataCentreRight(1), now)
	g.Expect(l.Lease(1000, 0, now)).To(gomega.BeNumerically("<=", 10+ledgerSpare))
	sum := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		sum += l.Lease(1000, 0, now)
	}
	g.Expect(sum).To(gomega.BeNumerically("~", 50, 1))
}

// Load: requests that wait are refused after the limit has fallen to a tenth.
func TestReturnsOfAHigherLimitAreNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := ledgerAt(Limit{PerSecond: 100, Burst: 100}, dataCentreRight(1))
	n := l.Lease(1000, 0, now)
	leasedAt := now
	now = now.Add(100 * time.Millisecond)
	l.Set(Limit{PerSecond: 10, Burst: 10}, dataCentreRight(1), now)
	l.Lease(1000, 0, now)
	now = now.Add(100 * time.Millisecond)
	g.Expect(l.Return(n, now.Sub(leasedAt), now)).To(gomega.BeZero())
	g.Expect(l.Lease(1000, 0, now)).To(gomega.BeNumerically("<=", 1))
}
