package callerconn

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/routetable"
)

// stopMargin is longer than a stopping node takes to do what it does at once.
const stopMargin = 250 * time.Millisecond

var discard = slog.New(slog.DiscardHandler)

// Guards against a request that the HTTP server has read whole and drops because the
// node stops, on a connection that was opened before.
func TestStopDropsNoRequestThatWasRead(t *testing.T) {
	g := gomega.NewWithT(t)
	scope := tally.NewTestScope("", nil)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s, _ := serve(t, handler, routetable.Limits{}, scope, discard)
	conns := make([]*callerConn, 20)
	for i := range conns {
		conns[i] = dialCaller(g, s)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
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
	s, limits := startServer(t, routetable.Limits{IdleTimeout: 2 * stopMargin})
	c := dialCaller(g, s)
	c.expectKept(g, "")
	limits.Store(&routetable.Limits{IdleTimeout: time.Minute})
	time.Sleep(3 * stopMargin)
	c.expectKept(g, "")
}

// Guards against a kept connection that ends by a shorter idle timeout than the one
// that its caller knew when it sent its last request, and against one that never
// applies the shorter one.
func TestShorterIdleTimeoutAppliesFromTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var limits *atomic.Pointer[routetable.Limits]
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		limits.Store(&routetable.Limits{IdleTimeout: stopMargin})
		w.WriteHeader(http.StatusNoContent)
	})
	var s *Server
	s, limits = serve(t, handler, routetable.Limits{IdleTimeout: time.Minute}, tally.NoopScope, discard)
	c := dialCaller(g, s)
	c.expectKept(g, "")
	time.Sleep(2 * stopMargin)
	c.expectKept(g, "")
	_, err := c.reader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// Guards against a stopping node that closes connections on which a request is on its
// way, and against one that waits for requests on kept ones.
func TestStoppingNodeWaitsForTheFirstBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := startServer(t, routetable.Limits{})
	here, there := net.Pipe()
	defer there.Close()
	c := s.open(here)
	defer c.Close()
	g.Expect(c.deadline()).To(gomega.Equal(c.opened.Add(DefaultHeaderTimeout)))
	s.end.Store(int32(causeStop))
	g.Expect(c.deadline()).To(gomega.Equal(c.opened.Add(firstBytesWait)))
	c.setPhase(phaseIdle)
	g.Expect(c.deadline()).To(gomega.Equal(c.since))
}

// Guards against a connection that ends at its idle timeout although a request has
// arrived, because the process did not run for a while.
func TestRequestThatHasArrivedOutlivesTheIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := startServer(t, routetable.Limits{})
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
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Of-Handler", "none")
		panic("a fault")
	})
	s, _ := serve(t, handler, routetable.Limits{}, tally.NoopScope, discard)
	c := dialCaller(g, s)
	g.Expect(c.send("")).To(gomega.Succeed())
	resp, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(resp.Header.Get("X-Of-Handler")).To(gomega.BeEmpty())
	g.Expect(resp.Close).To(gomega.BeTrue())
}
