package connlimit

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against connections beyond the limit that are served or left open,
// against closed connections that still count or are subtracted twice, and against
// one log line per refused connection.
func TestConnectionLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var log bytes.Buffer
	l := New(inner, 2, slog.New(slog.NewTextHandler(&log, nil)))
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	for range 3 {
		_, err = dial().Read(make([]byte, 1))
		g.Expect(err).To(gomega.HaveOccurred())
	}
	_ = first.Close()
	_ = first.Close()
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
	_ = inner.Close()
	<-accepted
	g.Expect(strings.Count(log.String(), "too many connections")).To(gomega.Equal(1))
}
