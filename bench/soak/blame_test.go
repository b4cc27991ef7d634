package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a part, or a request, that goes on crashing engines because each request
// with it is quarantined by itself, or because the nodes that counted its crashes were
// killed, and against sound requests that are refused in its place. On ae0cb57 both seeds
// let four requests through, where three are allowed. In the third run engines go dark at
// it, machines pause and are cut off; on 2319498 it lets 19 through.
func TestCrashingRequestsAreStoppedAndSoundOnesServed(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := buildDaemon(t)
	for what, seed := range map[string]uint64{"a part, runs several times": 956300, "a request, hubs are killed": 956301, "dark": 958105} {
		options := DefaultOptions(binary, t.TempDir(), seed)
		options.Dark = what == "dark"
		options.FaultDuration, options.Notices, options.Crashes, options.Failures = time.Second, false, false, false
		report, err := Run(options)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(report.Violations).To(gomega.BeEmpty(), "%s, seed %d", what, seed)
	}
}

// Guards against a panic of the phase when an engine is to be disturbed while all have
// crashed.
func TestEnginesAreNotDisturbedWhileNoneIsLive(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &blamePhase{rng: rand.New(rand.NewPCG(1, 1)), log: t.Logf, paused: make(map[*backend]time.Time)}
	p.pauseEngine(p.engines.random(p.rng))
	g.Expect(p.paused).To(gomega.BeEmpty())
}
