package quarantine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against nodes that disagree for ever because they have heard of the same
// decisions in another order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			round := rapid.IntRange(1, 4).Draw(t, "round")
			return Entry{
				Part: Part(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "part")), Round: round,
				Until: now.Add(roundDuration(round)), Lifted: rapid.Bool().Draw(t, "lifted"),
			}
		}), 1, 12).Draw(t, "entries")
		a, b := newList("a"), newList("b")
		for _, e := range entries {
			a.merge(e, now)
		}
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			b.merge(e, now)
		}
		gomega.NewWithT(t).Expect(a.all(now)).To(gomega.Equal(b.all(now)))
	})
}

// Guards against a list that grows without bound when many parts crash replicas.
func TestListIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := newList("a"), time.Now()
	for i := range 3 * maxEntries {
		l.merge(Entry{Part: own(i), Round: 1, Until: now.Add(time.Duration(i+1) * time.Second)}, now)
	}
	g.Expect(l.all(now)).To(gomega.HaveLen(maxEntries))
	_, blocked := l.blocked([]Part{own(3*maxEntries - 1)}, now)
	g.Expect(blocked).To(gomega.BeTrue())
	g.Expect(l.all(now.Add(time.Hour))).To(gomega.BeEmpty())
}

// Guards against requests that wait in a queue, or at an engine, for a run that will
// crash a replica, and against the cancellation of others.
func TestWaitingRequestsAreCancelled(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now := newList("a"), time.Now()
	causes := make(map[string]func() error)
	stops := make(map[string]func())
	for name, parts := range map[string][]Part{"crashing": {"f", "bad"}, "sound": {"f", "fine"}, "begun": {"f", "bad"}} {
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		stops[name] = l.watch(parts, cancel)
		causes[name] = func() error { return context.Cause(ctx) }
	}
	stops["begun"]()
	l.merge(Entry{Part: "bad", Round: 1, Until: now.Add(time.Minute)}, now)
	g.Expect(causes["crashing"]()).To(gomega.MatchError(ErrQuarantined))
	g.Expect(causes["sound"]()).To(gomega.Succeed())
	g.Expect(causes["begun"]()).To(gomega.Succeed())
	stops["crashing"]()
	stops["sound"]()
	g.Expect(l.watchers).To(gomega.BeEmpty())
}

// Guards against trials of many nodes, or of many requests of a node, at the moment
// at which a quarantine ends: each crashes a replica if the part still does.
func TestTrialsAreSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	e := Entry{Part: "bad", Round: 1, Until: now}
	starts := make(map[time.Duration]int)
	for i := range 12 {
		l := newList(core.NodeID(fmt.Sprintf("n%d", i)))
		l.merge(e, now)
		for at := time.Duration(0); at <= trialSpread; at += trialSpread / 20 {
			if _, ok := l.admit([]Part{"f", "bad"}, now.Add(at)); ok {
				starts[at]++
				break
			}
		}
		_, ok := l.admit([]Part{"bad"}, now.Add(trialSpread))
		g.Expect(ok).To(gomega.BeFalse(), "a trial is in progress")
		l.release([]Part{"bad"})
		_, ok = l.admit([]Part{"bad"}, now.Add(trialSpread))
		g.Expect(ok).To(gomega.BeTrue())
	}
	// Requests that arrive at the same moment.
	l := newList("a")
	l.merge(e, now)
	var admitted atomic.Int32
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			if _, ok := l.admit([]Part{"bad"}, now.Add(trialSpread)); ok {
				admitted.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(admitted.Load()).To(gomega.BeEquivalentTo(1))
	for at, n := range starts {
		g.Expect(n).To(gomega.BeNumerically("<=", 4), "%v", at)
	}
}
