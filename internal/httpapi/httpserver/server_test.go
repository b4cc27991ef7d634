package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// pipeListener is a listener with in-memory connections, so that timeouts follow
// the clock of a synctest bubble.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs a server in the bubble; dial opens a connection to it.
func serve(t *testing.T, handler http.HandlerFunc) (dial func() net.Conn, log *bytes.Buffer) {
	log = new(bytes.Buffer)
	l := &pipeListener{make(chan net.Conn), make(chan struct{})}
	server := New(Options{
		Handler: handler, NewID: func() string { return "id-1" }, Logger: slog.New(slog.NewTextHandler(log, nil)),
		Streams: func(path string) bool { return path == "/upload" },
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return func() net.Conn {
		clientConn, serverConn := net.Pipe()
		l.accepted <- serverConn
		return clientConn
	}, log
}

// readAll is a handler that reads the body and reports the result in its response.
func readAll(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	var tooLarge *http.MaxBytesError
	_, _ = fmt.Fprintf(w, "read %d ok=%t large=%t", n, err == nil, errors.As(err, &tooLarge))
}

// Guards against callers that hold a connection by sending a header or a body
// slowly or never, and against legitimate slow uploads that are cut off.
func TestSlowCallers(t *testing.T) {
	sendEvery := func(size int, interval time.Duration) func(net.Conn) {
		return func(c net.Conn) {
			for {
				if _, err := c.Write(bytes.Repeat([]byte("x"), size)); err != nil {
					return
				}
				time.Sleep(interval)
			}
		}
	}
	delay := func(d time.Duration, next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { time.Sleep(d); next(w, r) }
	}
	ignore := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ignored") }
	const minute = time.Minute
	for _, test := range []struct {
		name, header string
		send         func(net.Conn)
		handler      http.HandlerFunc
		want         string
		within       time.Duration // limit until the connection ends, by the bubble's clock
	}{
		{"no header", "", func(net.Conn) {}, readAll, "", headerTimeout},
		{"half a header", "GET / HT", func(net.Conn) {}, readAll, "", headerTimeout},
		{"header too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10), func(net.Conn) {}, readAll, "431 Request Header", time.Second},
		{"idle after a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(net.Conn) {}, readAll, "read 0 ok=true", idleTimeout},
		{"byte a minute", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", sendEvery(1, minute), readAll, "ok=false", bodyTimeout},
		{"byte a second", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", sendEvery(1, time.Second), readAll, "ok=false", bodyTimeout},
		{"upload, byte a second", "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", sendEvery(1, time.Second), readAll, "ok=false", bodyTimeout + time.Second},
		{"upload that progresses", "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 10485760\r\n\r\n", sendEvery(64<<10, 3*time.Second), readAll, "read 10485760 ok=true", 480*time.Second + idleTimeout},
		{"body that is not sent and not read", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n", func(net.Conn) {}, ignore, "ignored", discardTimeout},
		{"slow handler", "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n", sendEvery(10, 10*minute), delay(5*minute, readAll), "read 10 ok=true", 5*minute + idleTimeout},
		{"too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n", sendEvery(64<<10, 0), readAll, "large=true", time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			dial, _ := serve(t, test.handler)
			c := dial()
			started := time.Now()
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				if _, err := io.WriteString(c, test.header); err == nil {
					test.send(c)
				}
			}()
			response, _ := io.ReadAll(c)
			g.Expect(string(response)).To(gomega.ContainSubstring(test.want), test.name)
			g.Expect(time.Since(started)).To(gomega.BeNumerically("<=", test.within), test.name)
			_ = c.Close()
			<-sent
		})
	}
}

// Guards against a body timeout that cancels a request while it is served after
// its body has arrived.
func TestRequestContinuesAfterItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		dial, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(10 * time.Minute)
			_, _ = fmt.Fprintf(w, "context: %v", r.Context().Err())
		})
		c := dial()
		defer c.Close()
		go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx") }()
		response, _ := io.ReadAll(c)
		g.Expect(string(response)).To(gomega.ContainSubstring("context: <nil>"))
	})
}

// Guards against a caller that holds the connection by not reading a long
// response.
func TestUnreadStreamedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ended := make(chan time.Duration, 1)
		dial, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			started := time.Now()
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					ended <- time.Since(started)
					return
				}
			}
		})
		c := dial()
		defer c.Close()
		_, err := io.WriteString(c, "GET /upload HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-ended).To(gomega.Equal(writeTimeout))
	})
}

// Guards against a panic of a handler that ends the process, that breaks the
// connection instead of returning an error with the request ID, whose error is
// appended to a response in progress, or whose stack is not logged.
func TestHandlerPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		dial, log := serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Content-Length", "7")
			if r.URL.Path == "/late" {
				_, _ = io.WriteString(w, "partial")
				_ = http.NewResponseController(w).Flush()
			}
			panic("broken")
		})
		c := dial()
		defer c.Close()
		reader := bufio.NewReader(c)
		for range 2 { // the connection stays usable
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
			g.Expect(response.Header.Get("X-Request-Id")).To(gomega.Equal("id-1"))
			g.Expect(response.Header.Get("Content-Type")).To(gomega.Equal("application/json"))
			g.Expect(string(body)).To(gomega.MatchRegexp(`"code":"internal","message":".*id-1","not_run":"unknown"`))
		}
		_, err := io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		rest, _ := io.ReadAll(reader)
		g.Expect(string(rest)).To(gomega.HaveSuffix("\r\n\r\npartial"))
		synctest.Wait()
		g.Expect(strings.Count(log.String(), "level=ERROR")).To(gomega.Equal(3))
		g.Expect(log.String()).To(gomega.MatchRegexp(`request=id-1 .*panic=broken stack=.*server_test.go`))
	})
}
