package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// plannedSeeds are the seeds of each CI run with planned work, each with the fault that
// it showed when it was found.
var plannedSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "each large response was cut off, and streams of silent replicas were broken off"},
}

// ciPlannedDuration is how long planned work is done in a CI run.
const ciPlannedDuration = 8 * time.Second

// Guards against planned work that callers notice: requests without an answer, broken
// streams, lost jobs and second runs. Silent replicas are sound. It checks only what
// callers and replicas saw, and no time other than that in which jobs must complete.
func TestPlannedWorkLosesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	for _, s := range plannedSeeds {
		options := DefaultOptions(binary, t.TempDir(), s.seed)
		options.PlannedDuration = ciPlannedDuration
		report, err := RunPlanned(options)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log("seed", s.seed, "counts", report.Counts)
		g.Expect(report.Violations).To(gomega.BeEmpty(), "seed %d", s.seed)
		g.Expect(report.Served).To(gomega.BeNumerically(">", 0))
		g.Expect(report.Jobs).To(gomega.BeNumerically(">", 0))
	}
}
