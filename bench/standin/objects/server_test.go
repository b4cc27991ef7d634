package objects

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpobjects"
)

// Guards against objects or keys that change in transfer, for an empty object
// and one of the maximum size, and against a size limit that differs between
// the client and the server.
func TestRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	httpServer := httptest.NewServer(New(Params{}))
	defer httpServer.Close()
	store := httpobjects.New(httpServer.URL, 0)
	large := bytes.Repeat([]byte{1, 0, 255, '\n'}, MaxObject/4)
	for key, data := range map[string][]byte{"files/a%2Fb/part-1": large, "a//../b?c=d&e#f": {}} {
		g.Expect(store.Put(t.Context(), key, data)).To(gomega.Succeed())
		got, err := store.Get(t.Context(), key)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(bytes.Equal(got, data)).To(gomega.BeTrue(), key)
		g.Expect(store.Delete(t.Context(), key)).To(gomega.Succeed())
		_, err = store.Get(t.Context(), key)
		g.Expect(err).To(gomega.MatchError(infra.ErrNotFound))
	}
	g.Expect(store.Put(t.Context(), "k", append(large, 0))).NotTo(gomega.Succeed())
	g.Expect(MaxObject).To(gomega.Equal(httpobjects.MaxObject))
}

// Guards against storing part of an object when the sender closes the connection
// early, and against a lost response to a put that had no effect.
func TestInterruptedPuts(t *testing.T) {
	g := gomega.NewWithT(t)
	server := New(Params{})
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(httpServer.URL, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = fmt.Fprint(conn, "PUT /v1/object?key=part HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(conn.Close()).To(gomega.Succeed())

	store := httpobjects.New(httpServer.URL, 0)
	_, err = store.Get(t.Context(), "part")
	g.Expect(err).To(gomega.MatchError(infra.ErrNotFound))
	server.Fault.Set(Fault{LoseResponses: 1})
	g.Expect(store.Put(t.Context(), "k", []byte("v"))).To(gomega.MatchError(infra.ErrOutcomeUnknown))
	server.Fault.Set(Fault{Down: true})
	g.Expect(store.Put(t.Context(), "l", []byte("v"))).To(gomega.MatchError(infra.ErrUnavailable))
	server.Fault.Set(Fault{})
	g.Expect(store.Get(t.Context(), "k")).To(gomega.Equal([]byte("v")))
	g.Expect(server.Stats().Puts).To(gomega.Equal(int64(1)))
}
