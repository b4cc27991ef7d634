package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against lines that are lost at the end of a process, and against a
// process that panics because a goroutine logs after that.
func TestCloseWritesWhatIsQueued(t *testing.T) {
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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// Guards against a request that waits for the log, and against a volume without
// bound: what is dropped is counted in a line.
func TestSlowOutputNeverBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	b := &blocked{release: make(chan struct{})}
	w := New(b)
	for range 2*queueLines + 2 {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	close(b.release)
	w.Close()
	g.Expect(strings.Count(b.out.String(), "line\n")).To(gomega.BeNumerically("<=", queueLines+1))
	g.Expect(b.out.String()).To(gomega.ContainSubstring("log lines dropped"))
}
