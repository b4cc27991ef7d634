package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Answers a crowd that opens all connections and sends nothing, or a part of a head:
// those end in favour of ordinary callers, and the kept one that serves stays.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 8
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := New(inner, limit, slog.New(slog.DiscardHandler))
	server := &http.Server{ConnState: l.Track, ReadHeaderTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	exchange := func(c net.Conn) int {
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") // it may be closed already
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	kept := dial()
	g.Expect(exchange(kept)).To(gomega.Equal(http.StatusNoContent))
	for i := range limit - 1 {
		_, err := io.WriteString(dial(), "GET / HTTP"[:i])
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(l.open.Load).Should(gomega.Equal(int64(limit)))
	time.Sleep(2 * freshTime)
	for range 3 * limit {
		g.Eventually(func() int { // closed connections are counted for a moment
			c := dial()
			defer func() { _ = c.Close() }()
			return exchange(c)
		}, "20s").Should(gomega.Equal(http.StatusNoContent))
	}
	g.Expect(exchange(kept)).To(gomega.Equal(http.StatusNoContent))
	g.Expect(l.open.Load()).To(gomega.BeNumerically("<=", limit*hardShare))
}
