package retention

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch/records"
)

// Guards against a deletion that is early on a clock that is off, of what
// seems to come from the future or has no time, and while no retention is
// known.
func TestOutdated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	g.Expect(Outdated(now.Add(-time.Hour-ClockMargin), now, time.Hour)).To(gomega.BeTrue())
	g.Expect(Outdated(now.Add(-time.Hour-ClockMargin+time.Second), now, time.Hour)).To(gomega.BeFalse())
	g.Expect(Outdated(now.Add(1000*time.Hour), now, time.Hour)).To(gomega.BeFalse())
	g.Expect(Outdated(time.Time{}, now, time.Hour)).To(gomega.BeFalse())
	g.Expect(Outdated(now.Add(-1000*time.Hour), now, 0)).To(gomega.BeFalse())
}

// Guards against touching a job that has not ended, and against taking the end
// of a job from a clock that is behind.
func TestJobStep(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(10_000_000, 0)
	old := now.Add(-2 * keep.Jobs)
	for _, c := range []struct {
		job  records.Job
		want Step
	}{
		{records.Job{State: records.JobInProgress, Created: old, EndedAt: old}, StepKeep},
		{records.Job{State: records.JobCancelling, Created: old, EndedAt: old}, StepKeep},
		{records.Job{State: records.JobCompleted, Created: old}, StepKeep},
		{records.Job{State: records.JobCompleted, Created: now.Add(-time.Hour), EndedAt: old}, StepKeep},
		{records.Job{State: records.JobCompleted, Created: old, EndedAt: now.Add(-keep.Jobs)}, StepKeep},
		{records.Job{State: records.JobCancelled, Created: old, EndedAt: old}, StepMark},
		{records.Job{State: records.JobExpired, Created: old, EndedAt: now}, StepDelete},
	} {
		g.Expect(JobStep(&c.job, now, keep)).To(gomega.Equal(c.want), "%+v", c.job)
	}
}
