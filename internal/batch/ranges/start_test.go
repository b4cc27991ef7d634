package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
)

// A node must not claim more ranges than it can process, and a large range of one
// job must not keep it from claiming a range of another job.
func TestClaimScope(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := batch.DefaultConfig()
	g.Expect(WorkerStatus{}.ClaimScope(cfg)).To(gomega.Equal(ClaimAnyJob))
	g.Expect(WorkerStatus{HeldRanges: 1, LoadingRanges: 1}.ClaimScope(cfg)).To(gomega.Equal(ClaimNone))
	g.Expect(WorkerStatus{HeldRanges: 1, Unstarted: cfg.MaxInFlight - 1}.ClaimScope(cfg)).To(gomega.Equal(ClaimAnyJob))
	g.Expect(WorkerStatus{HeldRanges: 1, Unstarted: cfg.MaxInFlight}.ClaimScope(cfg)).To(gomega.Equal(ClaimOtherJobs))
	g.Expect(WorkerStatus{HeldRanges: 1, Running: cfg.MaxInFlight}.ClaimScope(cfg)).To(gomega.Equal(ClaimOtherJobs))
	g.Expect(WorkerStatus{HeldRanges: cfg.MaxOpenRanges}.ClaimScope(cfg)).To(gomega.Equal(ClaimNone))
	g.Expect(WorkerStatus{Stopping: true}.ClaimScope(cfg)).To(gomega.Equal(ClaimNone))
}

// An organisation must not starve another one on the same node, a later due time
// must not go first, and long items must not be left to the end.
func TestChooseStart(t *testing.T) {
	now := time.Unix(100_000, 0)
	cfg := batch.DefaultConfig()
	due := now.Add(time.Hour)
	for name, c := range map[string]struct {
		candidates []StartCandidate
		want       int
	}{
		"longest first":            {[]StartCandidate{{EstimatedTokens: 1}, {EstimatedTokens: 5}}, 1},
		"fewest running first":     {[]StartCandidate{{EstimatedTokens: 9, Running: 4, Weight: 1}, {EstimatedTokens: 1, Running: 1, Weight: 1}}, 1},
		"weighted":                 {[]StartCandidate{{Running: 4, Weight: 3}, {Running: 2, Weight: 1}}, 0},
		"due before share":         {[]StartCandidate{{Running: 9, Weight: 1, Due: due}, {Weight: 1, Due: due.Add(2 * time.Hour)}}, 0},
		"held long before all":     {[]StartCandidate{{EstimatedTokens: 9, Due: due, ClaimedAt: now}, {Due: due.Add(time.Hour), ClaimedAt: now.Add(-cfg.SplitAfter)}}, 1},
		"taken over before all":    {[]StartCandidate{{EstimatedTokens: 9, ClaimedAt: now}, {ClaimedAt: now, TakenOver: true}}, 1},
		"nothing can be started":   {nil, -1},
		"same due, shares compare": {[]StartCandidate{{Running: 2, Weight: 1, Due: due}, {Running: 1, Weight: 1, Due: due.Add(time.Second)}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.candidates {
				if c.candidates[i].ClaimedAt.IsZero() {
					c.candidates[i].ClaimedAt = now
				}
			}
			gomega.NewWithT(t).Expect(ChooseStart(c.candidates, now, cfg)).To(gomega.Equal(c.want))
		})
	}
}
