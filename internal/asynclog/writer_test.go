package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against losing queued lines at the end of the process, and against a
// panic when a goroutine logs after Close.
func TestCloseFlushesQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	w := New(&out)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	w.Close()
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(100))
	_, err := w.Write([]byte("late\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.String()).NotTo(gomega.ContainSubstring("late"))
}

// blockingWriter is an output whose writes block until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// Guards against requests that block on a slow log output and against an unbounded
// queue. The number of dropped lines must be logged.
func TestSlowOutputNeverBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &blockingWriter{release: make(chan struct{})}
	w := New(b)
	for range 2*queueCapacity + 2 {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	close(b.release)
	w.Close()
	g.Expect(strings.Count(b.out.String(), "line\n")).To(gomega.BeNumerically("<=", queueCapacity+1))
	g.Expect(b.out.String()).To(gomega.ContainSubstring("log lines dropped"))
}
