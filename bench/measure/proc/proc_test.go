package proc

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against reading the wrong field of /proc: a process that computes
// must show processor time, and peak memory is at least that of the runtime.
func TestOwnProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	before, err := CPUSeconds(os.Getpid())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() float64 {
		for start := time.Now(); time.Since(start) < 20*time.Millisecond; {
			_ = start
		}
		now, err := CPUSeconds(os.Getpid())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return now - before
	}, 8*time.Second, time.Millisecond).Should(gomega.BeNumerically(">=", 0.05))
	peak, err := PeakMemory(os.Getpid())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(peak).To(gomega.BeNumerically(">", 1))
}

// Guards against counting idle or stolen time twice or not at all.
func TestShares(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, steal := Machine{Idle: 10, Steal: 5, Total: 100}.Shares(Machine{Idle: 60, Steal: 10, Total: 200})
	g.Expect(idle).To(gomega.Equal(0.5))
	g.Expect(steal).To(gomega.Equal(0.05))
	m, err := ReadMachine()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Idle + m.Steal).To(gomega.BeNumerically("<", m.Total))
}
