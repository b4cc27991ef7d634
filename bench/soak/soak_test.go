package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// regressions are seeds that once broke a guarantee, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{20261204, "the settings reload signal terminated a process that had not installed its handler yet"},
	{1100, "open: once, a node that was paused before its first log line ended with that signal, which the run had not sent"},
}

// ciSeeds are the seeds of each CI run.
var ciSeeds = []uint64{20261205}

// ciFaultDuration is how long faults are injected in a CI run.
const ciFaultDuration = 5 * time.Second

// Guards against broken guarantees under random faults. It checks only what
// callers and replicas saw. The only time limit is the minute within which jobs
// must complete after the faults.
func TestGuaranteesUnderFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	seeds := append([]uint64(nil), ciSeeds...)
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		options := DefaultOptions(binary, t.TempDir(), seed)
		options.Nodes, options.FaultDuration = 3, ciFaultDuration
		options.Blame = false // it has a test of its own
		report, err := Run(options)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(report.Violations).To(gomega.BeEmpty(), "seed %d", seed)
		g.Expect(report.Served).To(gomega.BeNumerically(">", 0))
		g.Expect(report.Jobs).To(gomega.BeNumerically(">", 0))
	}
}

// buildDaemon builds the node daemon and returns its path.
func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "gentiantided")
	build := exec.Command("go", "build", "-o", binary, "gentiantide.example/gentiantide/cmd/gentiantided")
	output, err := build.CombinedOutput()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	return binary
}
