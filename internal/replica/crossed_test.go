package replica

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// The moments at which a server sends a second copy of its last response.
const (
	copyNever = iota
	// copyAtOnce: right after the response, before the connection is reused.
	copyAtOnce
	// copyBeforeNext: once the next request has been sent, before its response. For
	// the node this is the same as a copy that arrives between the check of the idle
	// connection and the write of the request.
	copyBeforeNext
)

// crossingServer responds to each request with its own text, and sends copies of
// responses as its script says.
type crossingServer struct {
	mu     sync.Mutex
	script []crossing // for the next requests
	late   map[net.Conn]string
}

type crossing struct {
	copyAt  int
	named   bool // the responses name their request
	chunked bool
}

func (s *crossingServer) respond(conn net.Conn, req *http.Request) bool {
	s.mu.Lock()
	c := s.script[0]
	s.script = s.script[1:]
	late := s.late[conn]
	delete(s.late, conn)
	s.mu.Unlock()
	id := req.Header.Get("X-Id")
	response := "HTTP/1.1 200 OK\r\n"
	if c.named {
		response += "X-Id: " + id + "\r\n"
	}
	if text := "answer to " + id; c.chunked {
		response += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	} else {
		response += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	}
	out := late + response
	switch c.copyAt {
	case copyAtOnce:
		out += response
	case copyBeforeNext:
		s.mu.Lock()
		s.late[conn] = response
		s.mu.Unlock()
	}
	_, err := io.WriteString(conn, out)
	return err == nil
}

// Guards against a caller that gets the response to another request: a server sends
// second copies of its responses, late, on connections that are in use again, with
// and without headers that name the request. Each exchange must return its own
// response, or fail; after a failure the next one must succeed again.
func TestResponsesReachTheirOwnRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		s := &crossingServer{late: make(map[net.Conn]string)}
		r := rawReplica(t, s.respond)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for i := range rapid.IntRange(2, 8).Draw(rt, "requests") {
			c := crossing{
				copyAt: rapid.IntRange(copyNever, copyBeforeNext).Draw(rt, "copy"),
				named:  rapid.Bool().Draw(rt, "named"), chunked: rapid.Bool().Draw(rt, "chunked"),
			}
			s.mu.Lock()
			s.script = []crossing{c}
			s.mu.Unlock()
			id := fmt.Sprint(i)
			body, err := exchange(ctx, r, id)
			if err == nil {
				g.Expect(body).To(gomega.Equal("answer to " + id))
				continue
			}
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
			s.mu.Lock()
			s.script = []crossing{{}}
			s.mu.Unlock()
			body, err = exchange(ctx, r, id)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "a failure closes the connection")
			g.Expect(body).To(gomega.Equal("answer to " + id))
		}
	})
}

// Guards against a caller's retry that gets the response to its first attempt: the
// retry has the same ID, and a server writes the earlier refusal once more, before the
// response to the retry. The caller would be told that the retry has not run.
func TestRetryWithTheSameIDGetsItsOwnResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	late := make(map[net.Conn]string)
	attempts := 0
	r := rawReplica(t, func(conn net.Conn, req *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		attempts++
		text := fmt.Sprintf("attempt %d", attempts)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(text), text)
		out := late[conn] + response
		late[conn] = response
		_, err := io.WriteString(conn, out)
		return err == nil
	})
	for i, id := range []string{"1", "1", "2", "1", "2", "3"} {
		body, err := exchange(t.Context(), r, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(fmt.Sprintf("attempt %d", i+1)))
	}
}

// Guards against connections that remember the IDs of ever more requests.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	conns := make(map[net.Conn]int)
	r := rawReplica(t, func(conn net.Conn, req *http.Request) bool {
		mu.Lock()
		conns[conn]++
		mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Id"))
		return err == nil
	})
	for i := range maxCarried + 10 {
		_, err := exchange(t.Context(), r, fmt.Sprint(i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	mu.Lock()
	defer mu.Unlock()
	g.Expect(slices.Sorted(maps.Values(conns))).To(gomega.Equal([]int{10, maxCarried}))
}
