package peer

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func secrets(values ...string) []core.Secret {
	var out []core.Secret
	for _, v := range values {
		out = append(out, core.NewSecret([]byte(strings.Repeat(v, 32))))
	}
	return out
}

// Guards against a node that serves, or sends messages to, a process without the
// secret, against connections that fail during a rotation of the secret, against
// secrets in the log, and against more than one log line for a rejection.
func TestHandshakeRequiresSharedSecret(t *testing.T) {
	for _, test := range []struct {
		dialler, acceptor []core.Secret
		link              core.NodeID // the ID that the dialler expects
		accepted          bool
		logLine           string // of the acceptor, or of the dialler if that one rejects
	}{
		{nil, nil, "b", true, ""},
		{secrets("x"), secrets("x"), "b", true, ""},
		{secrets("x"), secrets("x"), "seed:1", true, ""},
		{secrets("x", "y"), secrets("y"), "b", true, ""},
		{secrets("x"), secrets("y", "x"), "b", true, ""},
		{secrets("x"), secrets("y"), "b", false, "did not prove"},
		{nil, secrets("y"), "b", false, "did not prove"},
		{secrets("x"), nil, "b", false, "has no peer secret"},
		{secrets("x"), secrets("x"), "c", false, "another node answered"},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			logs := new(syncBuffer)
			log := slog.New(slog.NewTextHandler(logs, nil))
			client, server := New("a", log), New("b", log)
			client.SetSecrets(test.dialler)
			server.SetSecrets(test.acceptor)
			served := make(chan core.NodeID, 1)
			server.Handle("echo", func(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
				served <- from
				return body, nil
			})
			clientConn, serverConn := net.Pipe()
			g.Expect(server.register(serverConn)).To(gomega.BeTrue())
			go server.serve(serverConn)
			l := &link{transport: client, node: test.link, queue: make(chan []byte, 1), done: make(chan struct{})}
			first, err := encodeFrame(&frame{Type: frameOneWay, Kind: "echo", Body: []byte("x")})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			go func() { l.serve(clientConn, first); _ = clientConn.Close() }()
			time.Sleep(time.Minute)
			g.Expect(len(served) == 1).To(gomega.Equal(test.accepted), "%s", logs)
			close(l.done)
			server.Close()
			synctest.Wait()
			g.Expect(logs.String()).To(gomega.ContainSubstring(test.logLine))
			g.Expect(strings.Count(logs.String(), "rejected") == 0).To(gomega.Equal(test.accepted))
			g.Expect(strings.Count(logs.String(), "msg=\"peer connection rejected\" remote")).To(gomega.BeNumerically("<=", 1))
			g.Expect(logs.String()).NotTo(gomega.MatchRegexp("xxxx|yyyy|7878|7979"))
		})
	}
}

// Guards against replay: a recorded proof must not be valid for other node IDs,
// other challenges or the other role.
func TestProofIsBoundToItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	base := authentication{secrets("x"), "a", "b", []byte("1"), []byte("2")}
	proofs := base.proofs(roleDialler)
	g.Expect(base.verify(roleDialler, proofs)).To(gomega.BeTrue())
	g.Expect(base.verify(roleAcceptor, proofs)).To(gomega.BeFalse())
	g.Expect(base.verify(roleDialler, nil)).To(gomega.BeFalse())
	for _, other := range []authentication{
		{secrets("x"), "c", "b", []byte("1"), []byte("2")},
		{secrets("x"), "a", "c", []byte("1"), []byte("2")},
		{secrets("x"), "ab", "", []byte("1"), []byte("2")},
		{secrets("x"), "a", "b", []byte("3"), []byte("2")},
		{secrets("x"), "a", "b", []byte("1"), []byte("3")},
		{secrets("y"), "a", "b", []byte("1"), []byte("2")},
	} {
		g.Expect(other.verify(roleDialler, proofs)).To(gomega.BeFalse(), "%+v", other)
	}
}

// Guards against connections that stay open without a hello, in the middle of a
// frame or without any further frame, and against a large allocation for a frame
// before the handshake.
func TestIncompleteAndIdleConnectionsEnd(t *testing.T) {
	hello, _ := encodeFrame(&frame{Type: frameHello, Kind: "a"})
	for _, test := range []struct {
		sent  []byte
		after time.Duration
	}{
		{nil, handshakeTimeout},
		{hello[:3], handshakeTimeout},
		{[]byte{0, 0, 4, 1}, 0},
		{append(bytes.Clone(hello), 0, 0), frameTimeout},
		{hello, idleTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := New("b", discardLogger())
			clientConn, serverConn := net.Pipe()
			g.Expect(server.register(serverConn)).To(gomega.BeTrue())
			started := time.Now()
			go server.serve(serverConn)
			_, err := clientConn.Write(test.sent)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = bufio.NewReader(clientConn).ReadByte()
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(time.Since(started)).To(gomega.Equal(test.after)) // on the fake clock of synctest
			server.Close()
		})
	}
}
