package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

var start = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// A large organisation must not starve others with the same due time, and fair
// share must not override due times.
func TestChooseJob(t *testing.T) {
	g := gomega.NewWithT(t)
	weight := func(org core.Org) int { return map[core.Org]int{"a": 1, "b": 2, "c": 1}[org] }
	jobs := []JobCandidate{
		{Job: "1", Org: "a", Due: start, Free: 100},
		{Job: "2", Org: "b", Due: start.Add(time.Minute), Free: 100},
		{Job: "3", Org: "c", Due: start.Add(time.Hour), Free: 100},
	}
	held := make(map[core.Org]int)
	for range 30 {
		i := ChooseJob(jobs, held, weight, 10*time.Minute)
		held[jobs[i].Org]++
	}
	g.Expect(held).To(gomega.Equal(map[core.Org]int{"a": 10, "b": 20}))
	jobs[0].Free, jobs[1].Free = 0, 0
	g.Expect(ChooseJob(jobs, held, weight, 10*time.Minute)).To(gomega.Equal(2))
}

// Long items of newer ranges must not starve the short items of an older range.
func TestChooseStartOfOldRanges(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := batch.DefaultConfig()
	candidates := []StartCandidate{{EstimatedTokens: 1, ClaimedAt: start}, {EstimatedTokens: 9, ClaimedAt: start.Add(time.Second)}, {EstimatedTokens: 5, ClaimedAt: start.Add(2 * time.Second)}}
	g.Expect(ChooseStart(candidates, start.Add(5*time.Second), cfg)).To(gomega.Equal(1))
	g.Expect(ChooseStart(candidates, start.Add(cfg.SplitAfter), cfg)).To(gomega.Equal(0))
	g.Expect(ChooseStart(nil, start, cfg)).To(gomega.Equal(-1))
}

// Backend failures must not count as tries, retries must be bounded, and a
// non-idempotent item that may have run must not be retried.
func TestDecide(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{Tries: 3, BackendFailures: 50, Backoff: time.Second, BackoffMax: 4 * time.Second}
	retries := func(out batch.Outcome, nonIdempotent bool) (int, batch.OutcomeKind) {
		var p Progress
		for n := 0; ; n++ {
			v := Decide(p, out, nonIdempotent, limits)
			if v.NextStep == StepRecord {
				return n, v.Outcome.Kind
			}
			g.Expect(v.Delay).To(gomega.BeNumerically("<=", limits.BackoffMax))
			p = v.Progress
		}
	}
	for _, c := range []struct {
		out           batch.Outcome
		nonIdempotent bool
		retries       int
		recorded      batch.OutcomeKind
	}{
		{batch.Outcome{Kind: batch.ItemFailure}, false, 2, batch.ItemFailure},
		{batch.Outcome{Kind: batch.ItemFailure}, true, 0, batch.ItemFailure},
		{batch.Outcome{Kind: batch.BackendFailure}, false, 49, batch.BackendFailure},
		{batch.Outcome{Kind: batch.BackendFailure}, true, 0, batch.Unknown},
		{batch.Outcome{Kind: batch.BackendFailure, Execution: core.NotRun}, true, 49, batch.BackendFailure},
		{batch.Outcome{Kind: batch.Invalid}, false, 0, batch.Invalid},
	} {
		n, kind := retries(c.out, c.nonIdempotent)
		g.Expect(n).To(gomega.Equal(c.retries), "%+v", c)
		g.Expect(kind).To(gomega.Equal(c.recorded), "%+v", c)
	}
}
