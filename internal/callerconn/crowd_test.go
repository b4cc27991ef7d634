package callerconn

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Answers a crowd of connections of which some are stuck, some are kept after a response
// and some have just been opened.
func TestRankOfWaitingConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(rankOf(phaseNew, time.Second, false, false)).To(gomega.Equal(rankStuck))
	g.Expect(rankOf(phaseHead, time.Second, false, false)).To(gomega.Equal(rankStuck))
	g.Expect(rankOf(phaseIdle, time.Millisecond, false, false)).To(gomega.Equal(rankKept))
	g.Expect(rankOf(phaseNew, time.Millisecond, false, false)).To(gomega.Equal(rankFresh))
	g.Expect(rankOf(phaseHead, time.Second, true, false)).To(gomega.Equal(rankBusy))
	g.Expect(rankOf(phaseAnswered, time.Second, false, true)).To(gomega.Equal(rankStuck))
	g.Expect(rankOf(phaseAnswered, time.Millisecond, false, true)).To(gomega.Equal(rankBusy))
	for p := phaseRead; p <= phaseAnswered; p++ {
		g.Expect(rankOf(p, time.Hour, false, false)).To(gomega.Equal(rankBusy), p.String())
	}
}

// startBounded starts a server with a bound on its connections.
func startBounded(t *testing.T, maxConns int, handler http.HandlerFunc, endIncomplete func() bool) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := func() routetable.Limits { return routetable.Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour} }
	s := New(netopt.NewDrainable(listener.(*net.TCPListener)), handler, limits, tally.NoopScope, slog.New(slog.DiscardHandler))
	s.MaxConns, s.EndIncomplete = maxConns, endIncomplete
	go s.Run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
	})
	return s
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// Answers a crowd that opens connections and sends nothing, or a part of a head: they
// end in favour of a new one, which is served, and the kept one that serves stays.
func TestStuckConnectionsEndForNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxConns = 8
	s := startBounded(t, maxConns, noContent, nil)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	kept := dialCaller(g, s)
	exchange := func(c *callerConn) int {
		if _, err := io.WriteString(c, request); err != nil {
			return 0
		}
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	g.Expect(exchange(kept)).To(gomega.Equal(http.StatusNoContent))
	for i := range maxConns - 1 {
		stuck := dialCaller(g, s)
		t.Cleanup(func() { _ = stuck.Close() }) // the collector would close it
		_, err := io.WriteString(stuck, request[:i])
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(func() int { return len(s.openConns()) }, waitTimeout).Should(gomega.Equal(maxConns))
	time.Sleep(2 * firstBytesWait) // they are no longer fresh
	for range maxConns - 1 {       // those that are served stay open
		g.Eventually(func() int { // closed connections are counted for a moment
			fresh := dialCaller(g, s)
			t.Cleanup(func() { _ = fresh.Close() })
			return exchange(fresh)
		}, waitTimeout).Should(gomega.Equal(http.StatusNoContent))
		g.Expect(len(s.openConns())).To(gomega.BeNumerically("<=", maxConns*hardShare))
	}
	g.Expect(exchange(kept)).To(gomega.Equal(http.StatusNoContent))
}

// Answers a crowd whose requests are all in progress: an incomplete one is to end, and
// far beyond the bound new connections are closed unread.
func TestBusyConnectionsBeyondTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxConns = 8
	var begun, ended atomic.Int32
	release := make(chan struct{})
	s := startBounded(t, maxConns, func(http.ResponseWriter, *http.Request) {
		begun.Add(1)
		<-release
	}, func() bool { return ended.Add(1) > 0 })
	defer close(release)
	for i := range 20 {
		c := dialCaller(g, s)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") // it may be closed already
		g.Eventually(func() int { return int(begun.Load()) }, waitTimeout).Should(gomega.Equal(min(i+1, maxConns*hardShare)))
	}
	g.Expect(len(s.openConns())).To(gomega.BeNumerically("<=", maxConns*hardShare))
	g.Eventually(func() int { return int(ended.Load()) }, waitTimeout).Should(gomega.Equal(20-maxConns), "also one that is closed makes room for the next")
}

// Answers a caller that is refused while it still sends its body: it can read the
// response.
func TestRefusalReachesCallerThatSends(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startBounded(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}, nil)
	for range 20 {
		c := dialCaller(g, s)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := http.ReadResponse(c.reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		_, err = c.reader.ReadByte()
		g.Expect(err).To(gomega.Equal(io.EOF), "it is not reset")
		_ = c.Close()
	}
}
