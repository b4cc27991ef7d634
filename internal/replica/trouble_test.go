package replica

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// testTimeout bounds exchanges that take milliseconds, so that a test that hangs
// fails.
const testTimeout = 20 * time.Second

// rawServer passes each request, read completely, to a function that writes the
// response bytes and reports whether the connection stays open.
func rawServer(t testing.TB, respond func(conn net.Conn, req *http.Request) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.Map
	t.Cleanup(func() {
		_ = listener.Close()
		conns.Range(func(conn, _ any) bool { _ = conn.(net.Conn).Close(); return true })
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !respond(conn, req) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// rawReplica returns a replica behind a rawServer.
func rawReplica(t testing.TB, respond func(conn net.Conn, req *http.Request) bool) *Replica {
	return newReplica(Info{ID: "r", Address: rawServer(t, respond)}, make(chan struct{}, 1))
}

// testRequest is a request with an ID that its response may name.
func testRequest(id string) *Request {
	return &Request{
		ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte("b"),
		MatchResponse: func(h http.Header) Match {
			switch h.Get("X-Id") {
			case id:
				return MatchOwn
			case "":
				return MatchUnknown
			default:
				return MatchNone
			}
		},
	}
}

// exchange sends a request and reads the whole response.
func exchange(ctx context.Context, r *Replica, id string) (string, error) {
	resp, err := r.Send(ctx, testRequest(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// endless writes s until the other side closes the connection.
func endless(conn net.Conn, prefix, s string) bool {
	_, err := io.WriteString(conn, prefix)
	block := strings.Repeat(s, 1+(4<<10)/len(s))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
	return false
}

// endlessParts are the parts of a response that a sick server may send without end,
// by name, each with what comes before it.
var endlessParts = map[string]struct{ prefix, repeated string }{
	"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"},
	"header line":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
	"status line":       {"HTTP/1.1 200 ", "x"},
	"no HTTP":           {"", "x"},
	"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunk extensions":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
	"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 1\r\n"},
	"body":              {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"other answer":      {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
}

// Guards against a sick server that sends bytes without end, in any part of a
// response: they used up the memory of each node that sent it a request, or held
// the request until its deadline.
func TestEndlessResponsesEnd(t *testing.T) {
	for name, part := range endlessParts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r := rawReplica(t, func(conn net.Conn, _ *http.Request) bool { return endless(conn, part.prefix, part.repeated) })
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			resp, err := r.Send(ctx, testRequest("1"))
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), "the exchange ends before its deadline")
			g.Expect(r.pool.get(time.Now(), "")).To(gomega.BeNil(), "the connection is closed")
		})
	}
}

// nodeMemory is the memory of the smallest VM that a node runs on.
const nodeMemory = 184 << 20

// peakHeap runs 64 exchanges at once with each of 12 replicas that send a part of a
// response without end, and returns the largest size of the heap meanwhile.
func peakHeap(t testing.TB, prefix, repeated string) uint64 {
	var replicas []*Replica
	for range 12 {
		replicas = append(replicas, rawReplica(t, func(conn net.Conn, _ *http.Request) bool { return endless(conn, prefix, repeated) }))
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var running atomic.Int64
	var wait sync.WaitGroup
	for _, r := range replicas {
		for range 64 {
			running.Add(1)
			wait.Go(func() {
				defer running.Add(-1)
				_, _ = r.Send(ctx, testRequest("1"))
			})
		}
	}
	var peak uint64
	for running.Load() > 0 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		time.Sleep(time.Millisecond)
	}
	wait.Wait()
	return peak
}

// Guards against a node that exceeds the memory of its VM because all replicas of a
// service send heads without end to 64 requests at once.
func TestEndlessHeadsStayWithinMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{"header lines", "header line"} {
		part := endlessParts[name]
		g.Expect(peakHeap(t, part.prefix, part.repeated)).To(gomega.BeNumerically("<", nodeMemory), name)
	}
}

// Reports the largest size of the heap for each part without end.
func BenchmarkEndlessResponses(b *testing.B) {
	for _, name := range []string{"header lines", "header line", "interim responses"} {
		part := endlessParts[name]
		b.Run(name, func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(peakHeap(b, part.prefix, part.repeated))/(1<<20), "peak-MB")
			}
		})
	}
}

// Guards against bounds that cut sound responses: a long head, a few interim
// responses, a long body, and a body in single bytes.
func TestSoundResponsesAreNotCut(t *testing.T) {
	long := strings.Repeat("x", 5<<20)
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	cases := map[string]struct {
		response string
		pieces   int
		body     string
	}{
		"long head":   {head + strings.Repeat("X-More: "+strings.Repeat("y", 100)+"\r\n", 200) + "Content-Length: 2\r\n\r\nok", 1, "ok"},
		"interim":     {strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 3) + head + "Content-Length: 2\r\n\r\nok", 1, "ok"},
		"long body":   {head + "Content-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long, 1, long},
		"in pieces":   {head + "Content-Length: 2\r\n\r\nok", 1000, "ok"},
		"until close": {head + "\r\n" + long, 1, long},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r := rawReplica(t, func(conn net.Conn, _ *http.Request) bool {
				for rest := c.response; rest != ""; {
					n := min(len(rest), max(1, len(c.response)/c.pieces))
					if _, err := io.WriteString(conn, rest[:n]); err != nil {
						return false
					}
					rest = rest[n:]
				}
				return false
			})
			body, err := exchange(t.Context(), r, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body == c.body).To(gomega.BeTrue())
		})
	}
}

// Guards against a half response that passes for a complete one: each framing that
// announces its end, cut at each byte, by a clean close and by a reset.
func TestHalfResponsesFail(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(name+" reset="+strconv.FormatBool(reset), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				var cut atomic.Int64
				r := rawReplica(t, func(conn net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(conn, response[:cut.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				for n := range len(response) {
					cut.Store(int64(n))
					_, err := exchange(t.Context(), r, "1")
					g.Expect(err).To(gomega.HaveOccurred(), "cut after %q", response[:n])
				}
				if !reset { // a reset may overtake the last bytes
					cut.Store(int64(len(response)))
					body, err := exchange(t.Context(), r, "1")
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(body).To(gomega.Equal("hello"))
				}
			})
		}
	}
}

// Guards against a reset of a body that only the close of the connection ends: it
// must not pass for the end.
func TestResetOfBodyUntilCloseFails(t *testing.T) {
	g := gomega.NewWithT(t)
	read := make(chan struct{})
	r := rawReplica(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello")
		<-read
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	resp, err := r.Send(t.Context(), testRequest("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Close()
	_, err = io.ReadFull(resp, make([]byte, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	close(read)
	_, err = resp.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse())
}
