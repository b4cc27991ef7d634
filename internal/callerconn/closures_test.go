package callerconn

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/routetable"
)

// lockedBuffer is a log output that a test reads while connections are served.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// closed returns the counters of closed connections, as STATE/CAUSE/UNREAD.
func closed(scope tally.TestScope) map[string]int64 {
	counts := make(map[string]int64)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "caller_connections_closed" {
			counts[c.Tags()["state"]+"/"+c.Tags()["cause"]+"/"+c.Tags()["unread"]] += c.Value()
		}
	}
	return counts
}

// Guards against connections that end without a response to a request, of which no
// counter and no log line tells the reason.
func TestClosedConnectionsAreCountedAndLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	held := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		switch in.Header.Get("X-Do") {
		case "abort":
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "hold":
			close(held)
			<-in.Context().Done()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	scope := tally.NewTestScope("", nil)
	var log lockedBuffer
	s, limits := serve(t, handler, routetable.Limits{}, scope, slog.New(slog.NewTextHandler(&log, nil)))
	short := routetable.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	ends := func(c *callerConn) { _, _ = io.ReadAll(c) }

	c := dialCaller(g, s)
	g.Expect(c.send("X-Do: abort\r\n")).To(gomega.Succeed())
	ends(c)
	limits.Store(&short)
	c = dialCaller(g, s) // sends nothing
	ends(c)
	c = dialCaller(g, s)
	g.Expect(c.send("")).To(gomega.Succeed())
	ends(c)
	limits.Store(&routetable.Limits{})
	c = dialCaller(g, s)
	g.Expect(c.send("")).To(gomega.Succeed())
	_, _, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = c.Close()
	c = dialCaller(g, s)
	g.Expect(c.send("X-Do: hold\r\n")).To(gomega.Succeed())
	<-held
	over, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(s.Shutdown(over)).NotTo(gomega.Succeed())
	s.Close()
	ends(c)

	g.Eventually(func() map[string]int64 { return closed(scope) }, waitTimeout, "5ms").Should(gomega.Equal(map[string]int64{
		"responding/aborted/no": 1, "new/header_timeout/no": 1, "idle/idle_timeout/no": 1, "idle/caller/no": 1, "serving/grace_over/no": 1,
	}))
	lines := log.String()
	g.Expect(lines).To(gomega.ContainSubstring("state=responding cause=aborted"))
	g.Expect(lines).To(gomega.ContainSubstring("state=serving cause=grace_over"))
	g.Expect(strings.Count(lines, "closed without a response")).To(gomega.Equal(2))
}

// Guards against a log line for each of many connections that are closed at once.
func TestClosureLinesAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	var s closures
	logged := 0
	for range 10 * closureLinesPerSecond {
		if s.mayLog() {
			logged++
		}
	}
	g.Expect(logged).To(gomega.BeNumerically("<=", 3*closureLinesPerSecond)) // at most three seconds begin meanwhile
	g.Expect(s.suppressed.Load()).To(gomega.BeNumerically(">", 0))
}
