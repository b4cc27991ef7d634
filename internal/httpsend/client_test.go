package httpsend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// breakingServer answers the first request of each connection and closes the
// connection after it has read the second. It returns its address and the
// number of requests read.
func breakingServer(t *testing.T) (string, *atomic.Int64) {
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
				for answered := false; ; answered = true {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					requests.Add(1)
					if answered {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), &requests
}

// Guards against a call that runs twice: the transport repeats requests on
// broken reused connections by itself. The last case shows that it does.
func TestSentRequestIsNotRepeated(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"k"}}
	cases := map[string]struct {
		request Request
		arrive  int64
	}{
		"post with body":                {Request{Method: http.MethodPost, Body: []byte("x")}, 2},
		"post with key":                 {Request{Method: http.MethodPost, Body: []byte("x"), Header: key}, 2},
		"post with key without body":    {Request{Method: http.MethodPost, Header: key}, 2},
		"get":                           {Request{Method: http.MethodGet}, 2},
		"delete with key without body":  {Request{Method: http.MethodDelete, Header: key}, 2},
		"get that permits a repetition": {Request{Method: http.MethodGet, Replayable: true}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, requests := breakingServer(t)
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
			g.Expect(requests.Load()).To(gomega.Equal(c.arrive))
		})
	}
}

// Guards against a repetition over a second pooled connection, which is the
// one that the transport would pick.
func TestSentRequestIsNotRepeatedOnPooledConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address, requests := breakingServer(t)
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

// Guards against "outcome unknown" for requests that never left, which would
// keep callers from trying elsewhere.
func TestNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := "http://" + listener.Addr().String()
	_ = listener.Close()
	client := New()
	_, err = client.Fetch(t.Context(), Request{Method: http.MethodPost, URL: address, Body: []byte("x")}, 10)
	g.Expect(MaybeSent(err)).To(gomega.BeFalse())

	open, _ := breakingServer(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Fetch(ended, Request{Method: http.MethodPost, URL: open, Body: []byte("x")}, 10)
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(MaybeSent(err)).To(gomega.BeFalse())
}

// Guards against "not sent" for a request that the server may be running.
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

// Guards against a truncated or oversized answer that passes as complete.
func TestIncompleteAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"truncated":     "Content-Length: 5\r\n\r\nok",
		"no delimiter":  "\r\nok",
		"chunk missing": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"too large":     "Content-Length: 11\r\n\r\n01234567890",
		"too many":      "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n", answer)
				_ = conn.Close()
			}()
			_, err = New().Fetch(t.Context(), Request{Method: http.MethodGet, URL: "http://" + listener.Addr().String()}, 10)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(MaybeSent(err)).To(gomega.BeTrue())
		})
	}
}
