package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

var start = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// Guards against a large organisation that starves others with the same due
// time, and against fair share that overrides due times.
func TestChoose(t *testing.T) {
	g := gomega.NewWithT(t)
	weight := func(org core.Org) int { return map[core.Org]int{"a": 1, "b": 2, "c": 1}[org] }
	jobs := []Candidate{
		{Job: "1", Org: "a", Due: start, Free: 100},
		{Job: "2", Org: "b", Due: start.Add(time.Minute), Free: 100},
		{Job: "3", Org: "c", Due: start.Add(time.Hour), Free: 100},
	}
	held := make(map[core.Org]int)
	for range 30 {
		i := Choose(jobs, held, weight, 10*time.Minute)
		held[jobs[i].Org]++
	}
	g.Expect(held).To(gomega.Equal(map[core.Org]int{"a": 10, "b": 20}))
	jobs[0].Free, jobs[1].Free = 0, 0
	g.Expect(Choose(jobs, held, weight, 10*time.Minute)).To(gomega.Equal(2))
}

// Guards against short items that wait for ever behind long items of newer
// ranges.
func TestPickStartOfOldRanges(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := batch.DefaultConfig()
	heads := []Head{{Expected: 1, Since: start}, {Expected: 9, Since: start.Add(time.Second)}, {Expected: 5, Since: start.Add(2 * time.Second)}}
	g.Expect(PickStart(heads, start.Add(5*time.Second), cfg)).To(gomega.Equal(1))
	g.Expect(PickStart(heads, start.Add(cfg.SplitAfter), cfg)).To(gomega.Equal(0))
	g.Expect(PickStart(nil, start, cfg)).To(gomega.Equal(-1))
}

// Guards against backend failures that use up an item's tries, endless
// repeats, and repeats of non-idempotent items that may have run.
func TestJudge(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{Tries: 3, BackendFailures: 50, Backoff: time.Second, BackoffMax: 4 * time.Second}
	repeats := func(out batch.Outcome, nonIdempotent bool) (int, batch.Kind) {
		var p Progress
		for n := 0; ; n++ {
			v := Judge(p, out, nonIdempotent, limits)
			if v.Step == StepRecord {
				return n, v.Outcome.Kind
			}
			g.Expect(v.After).To(gomega.BeNumerically("<=", limits.BackoffMax))
			p = v.Progress
		}
	}
	for _, c := range []struct {
		out           batch.Outcome
		nonIdempotent bool
		repeats       int
		recorded      batch.Kind
	}{
		{batch.Outcome{Kind: batch.ItemFailure}, false, 2, batch.ItemFailure},
		{batch.Outcome{Kind: batch.ItemFailure}, true, 0, batch.ItemFailure},
		{batch.Outcome{Kind: batch.BackendFailure}, false, 49, batch.BackendFailure},
		{batch.Outcome{Kind: batch.BackendFailure}, true, 0, batch.Unknown},
		{batch.Outcome{Kind: batch.BackendFailure, Execution: core.NotRun}, true, 49, batch.BackendFailure},
		{batch.Outcome{Kind: batch.Invalid}, false, 0, batch.Invalid},
	} {
		n, kind := repeats(c.out, c.nonIdempotent)
		g.Expect(n).To(gomega.Equal(c.repeats), "%+v", c)
		g.Expect(kind).To(gomega.Equal(c.recorded), "%+v", c)
	}
}
