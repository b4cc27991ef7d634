package retention

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch/records"
)

// Guards against a deletion that is too early because of clock skew, of a row
// with a time in the future or without a time, and while the retention is
// unknown.
func TestPastRetention(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	g.Expect(PastRetention(now.Add(-time.Hour-ClockMargin), now, time.Hour)).To(gomega.BeTrue())
	g.Expect(PastRetention(now.Add(-time.Hour-ClockMargin+time.Second), now, time.Hour)).To(gomega.BeFalse())
	g.Expect(PastRetention(now.Add(1000*time.Hour), now, time.Hour)).To(gomega.BeFalse())
	g.Expect(PastRetention(time.Time{}, now, time.Hour)).To(gomega.BeFalse())
	g.Expect(PastRetention(now.Add(-1000*time.Hour), now, 0)).To(gomega.BeFalse())
}

// Guards against deleting a job that has not ended, and against an early
// deletion because the end of the job comes from a clock that is behind.
func TestJobAction(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(10_000_000, 0)
	old := now.Add(-2 * testRetention.Jobs)
	for _, c := range []struct {
		job  records.Job
		want Action
	}{
		{records.Job{State: records.JobInProgress, Created: old, EndedAt: old}, ActionKeep},
		{records.Job{State: records.JobCancelling, Created: old, EndedAt: old}, ActionKeep},
		{records.Job{State: records.JobCompleted, Created: old}, ActionKeep},
		{records.Job{State: records.JobCompleted, Created: now.Add(-time.Hour), EndedAt: old}, ActionKeep},
		{records.Job{State: records.JobCompleted, Created: old, EndedAt: now.Add(-testRetention.Jobs)}, ActionKeep},
		{records.Job{State: records.JobCancelled, Created: old, EndedAt: old}, ActionMark},
		{records.Job{State: records.JobExpired, Created: old, EndedAt: now}, ActionDelete},
	} {
		g.Expect(JobAction(&c.job, now, testRetention)).To(gomega.Equal(c.want), "%+v", c.job)
	}
}
