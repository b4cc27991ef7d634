package httpsend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// brokenServer sends a broken answer to the first request and a sound one to all others.
// It returns its URL and the number of requests that came on the connection of the broken
// answer after it.
func brokenServer(t *testing.T, broken string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var sent atomic.Bool
	var reused atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		wasBroken := false
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
			if wasBroken {
				reused.Add(1)
			}
			if sent.CompareAndSwap(false, true) {
				answer, wasBroken = broken, true
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String(), &reused
}

// Guards against a broken head that passes for an answer of a server, a service of the
// platform or an engine, and against another request on its connection.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	for name, broken := range map[string]string{
		"status 000":                     "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"status 099":                     "HTTP/1.1 099 Unknown\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                     "HTTP/1.1 600 Unknown\r\nContent-Length: 0\r\n\r\n",
		"status 999":                     "HTTP/1.1 999 Unknown\r\nContent-Length: 2\r\n\r\nok",
		"switching protocols":            "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n",
		"version 2.0":                    "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":                "HTTP/1.1 200 OK\r\nX-Some Name: 1\r\nContent-Length: 0\r\n\r\n",
		"blank after a name":             "HTTP/1.1 200 OK\r\nX-Name : 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after the length":         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"control byte in a name":         "HTTP/1.1 200 OK\r\nX-\x01Name: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":        "HTTP/1.1 200 OK\r\nX-Name: \x01\r\nContent-Length: 2\r\n\r\nok",
		"interim with a blank in a name": "HTTP/1.1 103 Early Hints\r\nX-Some Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"interim with a body":            "HTTP/1.1 102 Processing\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"folded line":                    "HTTP/1.1 200 OK\r\nX-Name: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok",
		"chunks and length":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length in HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"interim with chunks":            "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"interim with status 000":        "HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address, reused := brokenServer(t, broken)
			client := New()
			defer client.Close()
			request := Request{Method: http.MethodPost, URL: address, Body: []byte("x")}
			resp, err := client.Fetch(t.Context(), request, 10)
			g.Expect(err).To(gomega.HaveOccurred(), "status %d, %q, %v", resp.Status, resp.Body, resp.Header)
			g.Expect(MaybeSent(err)).To(gomega.BeTrue())
			for range 3 {
				resp, err = client.Fetch(t.Context(), request, 10)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(resp.Body)).To(gomega.Equal("sound"))
			}
			g.Expect(reused.Load()).To(gomega.BeZero(), "the connection is not used again")
		})
	}
}

// Guards against a request that fails because it was given the connection of a broken
// answer, which was closed only then.
func TestBrokenHeadCostsNoOtherRequest(t *testing.T) {
	var failed atomic.Int64
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			for range 40 {
				address, _ := brokenServer(t, "HTTP/1.1 600 Unknown\r\nContent-Length: 0\r\n\r\n")
				client := New()
				request := Request{Method: http.MethodPost, URL: address, Body: []byte("x")}
				_, _ = client.Fetch(t.Context(), request, 10)
				if _, err := client.Fetch(t.Context(), request, 10); err != nil {
					failed.Add(1)
				}
				client.Close()
			}
		})
	}
	wait.Wait()
	gomega.NewWithT(t).Expect(failed.Load()).To(gomega.BeZero())
}

// Guards against heads that are judged before they have arrived, and against a broken one
// that passes because it arrives in pieces.
func TestHeadInPieces(t *testing.T) {
	for response, sound := range map[string]bool{
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Name: 1\r\nContent-Length: 2\r\n\r\nok": true,
		"HTTP/1.1 200 OK\r\nX-Name: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":                 true,
		"HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":             false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Name: 1\r\n\r\nok":                                            false,
	} {
		g := gomega.NewWithT(t)
		address := respondOnce(t, func(conn net.Conn) {
			for i := range len(response) {
				_, _ = io.WriteString(conn, response[i:i+1])
				time.Sleep(100 * time.Microsecond)
			}
		})
		resp, err := New().Fetch(t.Context(), Request{Method: http.MethodPost, URL: address, Body: []byte("x")}, 10)
		g.Expect(err == nil).To(gomega.Equal(sound), "%q: %v", response, err)
		if sound {
			g.Expect(string(resp.Body)).To(gomega.Equal("ok"))
		}
	}
}
