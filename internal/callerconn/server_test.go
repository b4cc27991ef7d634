package callerconn

import (
	"bufio"
	"context"
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

const waitTimeout = 20 * time.Second

// startServer serves 204 to each request, with limits that the test changes.
func startServer(t *testing.T, limits routetable.Limits) (*Server, *atomic.Pointer[routetable.Limits]) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		_, _ = io.Copy(io.Discard, in.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	return serve(t, handler, limits, tally.NoopScope, slog.New(slog.DiscardHandler))
}

// serve starts a server with limits that the test changes.
func serve(t *testing.T, handler http.Handler, limits routetable.Limits, scope tally.Scope, log *slog.Logger) (*Server, *atomic.Pointer[routetable.Limits]) {
	var current atomic.Pointer[routetable.Limits]
	current.Store(&limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(netopt.NewDrainable(listener.(*net.TCPListener)), handler, func() routetable.Limits { return *current.Load() }, scope, log)
	go s.Run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
	})
	return s, &current
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(g *gomega.WithT, s *Server) *callerConn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(gomega.Succeed())
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request with a further header.
func (c *callerConn) send(header string) error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
	return err
}

// receive reads a response and returns its status and whether the connection stays
// open.
func (c *callerConn) receive() (status int, open bool, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	return resp.StatusCode, !resp.Close, nil
}

// expectKept sends a request with a further header and expects a response that keeps
// the connection open.
func (c *callerConn) expectKept(g *gomega.WithT, header string) {
	g.Expect(c.send(header)).To(gomega.Succeed())
	status, open, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusNoContent))
	g.Expect(open).To(gomega.BeTrue())
}

// Guards against limits of the operator's configuration that have no effect: header
// bytes, header timeout and idle timeout.
func TestCallerLimitsAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := routetable.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	s, _ := startServer(t, limits)

	c := dialCaller(g, s)
	g.Expect(c.send("X-Long: " + strings.Repeat("x", 16<<10) + "\r\n")).To(gomega.Succeed())
	status, _, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))

	c = dialCaller(g, s)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHos")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	status, _, err = c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusRequestTimeout))
	_, err = c.reader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))

	c = dialCaller(g, s)
	g.Expect(c.send("")).To(gomega.Succeed())
	status, open, err := c.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusNoContent))
	g.Expect(open).To(gomega.BeTrue())
	_, err = c.reader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// Guards against connections that keep the former limits after a change.
func TestChangedCallerLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	s, limits := startServer(t, routetable.Limits{HeaderBytes: 8 << 10})
	long := "X-Long: " + strings.Repeat("x", 16<<10) + "\r\n"
	former := dialCaller(g, s)
	former.expectKept(g, "")

	limits.Store(&routetable.Limits{HeaderBytes: 32 << 10})
	dialCaller(g, s).expectKept(g, long)
	former.expectKept(g, long)

	limits.Store(&routetable.Limits{HeaderBytes: 8 << 10})
	former.expectKept(g, "")
	g.Expect(former.send(long)).To(gomega.Succeed())
	status, open, err := former.receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(open).To(gomega.BeFalse())
}

// Guards against connections that a stop resets although their requests were sent
// before it: those that the kernel has accepted and the node has not.
func TestStopServesAcceptedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers = 50
	for range 10 {
		s, _ := startServer(t, routetable.Limits{})
		conns := make([]*callerConn, callers)
		for i := range conns {
			conns[i] = dialCaller(g, s)
			g.Expect(conns[i].send("")).To(gomega.Succeed())
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Shutdown(context.Background()) }()
		for _, c := range conns {
			status, _, err := c.receive()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status).To(gomega.Equal(http.StatusNoContent))
		}
		g.Expect(<-ended).To(gomega.Succeed())
	}
}
