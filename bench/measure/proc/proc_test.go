package proc

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against reading the wrong field of /proc: a busy process must show CPU
// time, and its peak memory is more than 1 MiB.
func TestReadsOwnProcess(t *testing.T) {
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
	peak, err := PeakMemoryMiB(os.Getpid())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(peak).To(gomega.BeNumerically(">", 1))
}

// Guards against counting idle or stolen time twice or leaving it out.
func TestCPUTimeShares(t *testing.T) {
	g := gomega.NewWithT(t)
	idle, steal := CPUTimes{Idle: 10, Steal: 5, Total: 100}.Shares(CPUTimes{Idle: 60, Steal: 10, Total: 200})
	g.Expect(idle).To(gomega.Equal(0.5))
	g.Expect(steal).To(gomega.Equal(0.05))
	m, err := ReadCPUTimes()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Idle + m.Steal).To(gomega.BeNumerically("<", m.Total))
}
