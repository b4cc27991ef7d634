package peer

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

type echoMessage struct {
	Text string `msgpack:"t"`
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newPair returns a client transport "a" that is connected to a server transport
// "b" with one handler.
func newPair(t *testing.T, handler Handler) (client, server *Transport) {
	t.Helper()
	client, server = New("a", discardLogger()), New("b", discardLogger())
	server.Handle("echo", handler)
	l := listenLoopback(t)
	server.Start(l)
	client.SetAddress("b", l.Addr().String())
	t.Cleanup(client.Close)
	t.Cleanup(server.Close)
	return client, server
}

// Guards against responses that reach the wrong call when many calls are pending
// on one connection.
func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	client, _ := newPair(t, func(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
		var e echoMessage
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return nil, err
		}
		if e.Text == "bad" {
			return nil, errors.New("refused")
		}
		return msgpack.Marshal(echoMessage{Text: string(from) + e.Text})
	})
	results := make(chan error, 100)
	for i := range 100 {
		go func() {
			var got echoMessage
			text := string(rune('a' + i%26))
			err := client.Call(context.Background(), "b", "echo", echoMessage{Text: text}, &got)
			if err == nil && got.Text != "a"+text {
				err = errors.Errorf("got %q for %q", got.Text, text)
			}
			results <- err
		}()
	}
	for range 100 {
		g.Expect(<-results).To(gomega.Succeed())
	}
	var remote *RemoteError
	err := client.Call(context.Background(), "b", "echo", echoMessage{Text: "bad"}, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(client.Call(context.Background(), "b", "other", echoMessage{}, nil)).To(gomega.MatchError(gomega.ContainSubstring("unknown message kind")))
	g.Expect(client.Call(context.Background(), "c", "echo", echoMessage{}, nil)).To(gomega.MatchError(ErrUnavailable))
}

// Guards against calls that never return after the connection is lost, and
// against a transport that does not reconnect.
func TestLostConnectionFailsPendingCallsAndReconnects(t *testing.T) {
	g := gomega.NewWithT(t)
	entered := make(chan struct{}, 1)
	block := make(chan struct{})
	client, server := newPair(t, func(ctx context.Context, _ core.NodeID, body []byte) ([]byte, error) {
		var e echoMessage
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return nil, err
		}
		if e.Text == "wait" {
			entered <- struct{}{}
			select {
			case <-block:
			case <-ctx.Done():
			}
		}
		return body, nil
	})
	result := make(chan error, 1)
	go func() { result <- client.Call(context.Background(), "b", "echo", echoMessage{Text: "wait"}, nil) }()
	<-entered
	server.mu.Lock()
	for conn := range server.accepted {
		_ = conn.Close()
	}
	server.mu.Unlock()
	g.Expect(<-result).To(gomega.MatchError(ErrUnavailable))
	close(block)
	g.Eventually(func() error {
		return client.Call(context.Background(), "b", "echo", echoMessage{Text: "x"}, nil)
	}, 5*time.Second).Should(gomega.Succeed())
}

// Guards against a length prefix above MaxFrameBytes that makes a node allocate
// as much memory.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, server := newPair(t, nil)
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	var prefix [lengthPrefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], MaxFrameBytes+1)
	_, err = conn.Write(prefix[:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against one message that ends the whole process: a handler that panics
// must fail that message only, for calls from other nodes and from the node itself.
func TestPanicInHandlerFailsOnlyItsMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	client, server := newPair(t, func(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
		var m echoMessage
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		if m.Text == "bad" {
			panic("bad message")
		}
		return body, nil
	})
	server.ContainPanics()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for _, from := range []*Transport{client, server} {
		var remote *RemoteError
		g.Expect(errors.As(from.Call(ctx, "b", "echo", &echoMessage{"bad"}, nil), &remote)).To(gomega.BeTrue())
		g.Expect(from.Send("b", "echo", &echoMessage{"bad"})).To(gomega.Succeed())
		var got echoMessage
		g.Expect(from.Call(ctx, "b", "echo", &echoMessage{"good"}, &got)).To(gomega.Succeed())
		g.Expect(got.Text).To(gomega.Equal("good"))
	}
}

// Guards against a short message that exhausts the memory of a node, because it says
// that it has billions of elements.
func TestMessageThatClaimsTooMuchIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	transport := New("a", slog.New(slog.DiscardHandler))
	transport.Handle("list", func(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
		var list [][4]uint64
		return nil, msgpack.Unmarshal(body, &list)
	})
	_, err := transport.invoke(t.Context(), "b", "list", []byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = transport.invoke(t.Context(), "b", "list", []byte{0x91, 0x94, 1, 2, 3, 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
