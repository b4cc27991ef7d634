package callerconn

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

// stopMargin is longer than a stopping node takes to do what it does at once.
const stopMargin = 250 * time.Millisecond

// holding serves 204, to requests with the header X-Hold after release is closed.
type holding struct {
	held, release chan struct{}
	once          sync.Once
}

func newHolding() *holding {
	return &holding{held: make(chan struct{}), release: make(chan struct{})}
}

// end releases held requests, also in a test that fails.
func (h *holding) end() { h.once.Do(func() { close(h.release) }) }

func (h *holding) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	switch {
	case in.Header.Get("X-Hold") != "":
		close(h.held)
		<-h.release
	case in.Header.Get("X-Panic") != "":
		w.Header().Set("X-Response-Signature", "none")
		panic("a fault")
	}
	w.WriteHeader(http.StatusNoContent)
}

func serve(t *testing.T, handler http.Handler, scope tally.Scope) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(netopt.NewDrainable(listener.(*net.TCPListener)), handler, func() routetable.Limits { return routetable.Limits{} }, scope, slog.New(slog.DiscardHandler))
	go s.Run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
	})
	return s
}

// Guards against a stopping node that refuses new connections, and closes kept ones,
// while it goes on serving others: the balancer uses stopping nodes too if fewer than
// half of a data centre are ready.
func TestStoppingNodeServesWhileRequestsAreInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHolding()
	defer h.end()
	s := serve(t, h, tally.NoopScope)
	kept := dialCaller(g, s)
	kept.expectKept(g, "")
	inProgress := dialCaller(g, s)
	g.Expect(inProgress.send("X-Hold: 1\r\n")).To(gomega.Succeed())
	<-h.held

	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background(), time.Now().Add(waitTimeout)) }()
	for begin := time.Now(); time.Since(begin) < stopMargin; time.Sleep(stopMargin / 10) {
		c := dialCaller(g, s)
		c.expectKept(g, "")
		_ = c.Close()
	}
	kept.expectKept(g, "")

	h.end()
	status, _, err := inProgress.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusNoContent))
	g.Expect(<-ended).To(gomega.Succeed())
	_, err = kept.reader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// Guards against a request that the HTTP server has read whole and drops because the
// node stops, on a connection that was opened before.
func TestStopDropsNoRequestThatWasRead(t *testing.T) {
	g := gomega.NewWithT(t)
	scope := tally.NewTestScope("", nil)
	s := serve(t, newHolding(), scope)
	conns := make([]*callerConn, 20)
	for i := range conns {
		conns[i] = dialCaller(g, s)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background(), time.Now().Add(waitTimeout)) }()
	answered := 0
	for _, c := range conns {
		time.Sleep(stopMargin / time.Duration(len(conns)))
		if c.send("") != nil {
			continue // closed before the request
		}
		if status, _, err := c.receive(); err == nil {
			g.Expect(status).To(gomega.Equal(http.StatusNoContent))
			answered++
		}
		_ = c.Close()
	}
	g.Expect(<-ended).To(gomega.Succeed())
	g.Expect(answered).To(gomega.BeNumerically(">", 0))
	for key := range closed(scope) {
		g.Expect(key).To(gomega.Or(gomega.HavePrefix("new/"), gomega.HavePrefix("idle/")))
	}
}

// Guards against a kept connection that ends by the former idle timeout, under a
// caller that reuses it within the present one.
func TestLongerIdleTimeoutAppliesToKeptConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s, limits := startServers(t, routetable.Limits{IdleTimeout: 2 * stopMargin})
	c := dialCaller(g, s)
	c.expectKept(g, "")
	limits.Store(&routetable.Limits{IdleTimeout: time.Minute})
	time.Sleep(3 * stopMargin)
	c.expectKept(g, "")
}

// Guards against a kept connection that ends by a shorter idle timeout than the one
// that its caller knew when it became idle, and against one that never applies the
// shorter one.
func TestShorterIdleTimeoutAppliesFromTheNextResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	s, limits := startServers(t, routetable.Limits{IdleTimeout: time.Minute})
	c := dialCaller(g, s)
	c.expectKept(g, "")
	limits.Store(&routetable.Limits{IdleTimeout: stopMargin})
	time.Sleep(2 * stopMargin)
	c.expectKept(g, "")
	_, err := c.reader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// Guards against a connection that ends at its idle timeout although a request has
// arrived, because the process did not run for a while.
func TestRequestThatHasArrivedOutlivesTheIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := startServers(t, routetable.Limits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer caller.Close()
	raw, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := s.open(raw)
	defer c.Close()
	c.setPhase(phaseIdle)
	_, err = io.WriteString(caller, "GET")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int { return unread(raw) }, waitTimeout, "1ms").Should(gomega.Equal(3))
	c.since = time.Now().Add(-time.Hour)
	g.Expect(raw.SetReadDeadline(c.since)).To(gomega.Succeed())
	buf := make([]byte, 8)
	n, err := c.Read(buf)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buf[:n])).To(gomega.Equal("GET"))
}

// Guards against a panic that leaves its caller without an answer.
func TestPanicGetsAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(t, newHolding(), tally.NoopScope)
	c := dialCaller(g, s)
	g.Expect(c.send("X-Panic: 1\r\n")).To(gomega.Succeed())
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(resp.Header.Get("X-Response-Signature")).To(gomega.BeEmpty())
	g.Expect(resp.Close).To(gomega.BeTrue())
}
