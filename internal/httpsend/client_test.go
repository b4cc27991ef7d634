package httpsend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// disconnectingServer responds to the first request of each connection and
// closes the connection after it has read the second. It returns the server's
// URL and the number of requests it has read.
func disconnectingServer(t *testing.T) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for responded := false; ; responded = true {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
					if responded {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), &requests
}

// Guards against a request that runs twice: the transport retries requests by
// itself when a reused connection breaks. The last case shows that it does so
// for a replayable request.
func TestSentRequestIsNotRetried(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"k"}}
	cases := map[string]struct {
		request  Request
		received int64
	}{
		"post with body":               {Request{Method: http.MethodPost, Body: []byte("x")}, 2},
		"post with key":                {Request{Method: http.MethodPost, Body: []byte("x"), Header: key}, 2},
		"post with key without body":   {Request{Method: http.MethodPost, Header: key}, 2},
		"get":                          {Request{Method: http.MethodGet}, 2},
		"delete with key without body": {Request{Method: http.MethodDelete, Header: key}, 2},
		"replayable get":               {Request{Method: http.MethodGet, Replayable: true}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, requests := disconnectingServer(t)
			client := New()
			defer client.Close()
			c.request.URL = address
			_, err := client.Fetch(t.Context(), Request{Method: http.MethodGet, URL: address}, 10)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = client.Fetch(t.Context(), c.request, 10)
			if !c.request.Replayable {
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(MaybeSent(err)).To(gomega.BeTrue())
			}
			g.Expect(requests.Load()).To(gomega.Equal(c.received))
		})
	}
}

// Guards against a request that runs twice because the transport retries it on
// another idle connection of the pool.
func TestSentRequestIsNotRetriedOnPooledConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address, requests := disconnectingServer(t)
	client := New()
	defer client.Close()
	first, err := client.Send(t.Context(), Request{Method: http.MethodGet, URL: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := client.Send(t.Context(), Request{Method: http.MethodGet, URL: address})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, resp := range []*http.Response{first, second} {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	_, err = client.Fetch(t.Context(), Request{Method: http.MethodGet, URL: address}, 10)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MaybeSent(err)).To(gomega.BeTrue())
	g.Expect(requests.Load()).To(gomega.Equal(int64(3)))
}

// Guards against reporting an unsent request as possibly sent, which would keep
// callers from trying another server.
func TestNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := "http://" + listener.Addr().String()
	_ = listener.Close()
	client := New()
	_, err = client.Fetch(t.Context(), Request{Method: http.MethodPost, URL: address, Body: []byte("x")}, 10)
	g.Expect(MaybeSent(err)).To(gomega.BeFalse())

	open, _ := disconnectingServer(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Fetch(ended, Request{Method: http.MethodPost, URL: open, Body: []byte("x")}, 10)
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(MaybeSent(err)).To(gomega.BeFalse())
}

// Guards against reporting a request as unsent that the server may be running.
func TestTimeoutAfterSending(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never reads
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = New().Fetch(ctx, Request{Method: http.MethodPost, URL: "http://" + listener.Addr().String(), Body: []byte("x")}, 10)
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(MaybeSent(err)).To(gomega.BeTrue())
}

// respondOnce serves one connection: it reads a request, calls respond and closes the
// connection. It returns the server's URL.
func respondOnce(t *testing.T, respond func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		respond(conn)
	}()
	return "http://" + listener.Addr().String()
}

// Guards against accepting a truncated or oversized response as complete.
func TestIncompleteResponse(t *testing.T) {
	for name, response := range map[string]string{
		"truncated":          "Content-Length: 5\r\n\r\nok",
		"delimited by close": "\r\nok",
		"no final chunk":     "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"length too large":   "Content-Length: 11\r\n\r\n01234567890",
		"chunks too large":   "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := respondOnce(t, func(conn net.Conn) { _, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n", response) })
			_, err := New().Fetch(t.Context(), Request{Method: http.MethodGet, URL: address}, 10)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(MaybeSent(err)).To(gomega.BeTrue())
		})
	}
}

// Guards against a server that sends a head without end, of which net/http would
// keep 10 MiB for each request: headers, interim responses and a trailer.
func TestEndlessHead(t *testing.T) {
	for name, part := range map[string]struct{ prefix, repeated string }{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := respondOnce(t, func(conn net.Conn) {
				_, err := io.WriteString(conn, part.prefix)
				for err == nil {
					_, err = io.WriteString(conn, part.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := New().Fetch(ctx, Request{Method: http.MethodGet, URL: address}, 1<<20)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		})
	}
}

// Guards against a bound on the head that is not applied: an endless head also ends
// at the bound of net/http, at 10 MiB, and a long one would be accepted.
func TestLongHead(t *testing.T) {
	for size, accepted := range map[int]bool{maxHeadBytes / 2: true, 2 * maxHeadBytes: false} {
		g := gomega.NewWithT(t)
		address := respondOnce(t, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filler: %s\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", size))
		})
		_, err := New().Fetch(t.Context(), Request{Method: http.MethodGet, URL: address}, 10)
		g.Expect(err == nil).To(gomega.Equal(accepted), "%d bytes: %v", size, err)
	}
}
