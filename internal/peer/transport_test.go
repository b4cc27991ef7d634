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

type echo struct {
	Text string `msgpack:"t"`
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func pair(t *testing.T, handler Handler) (client, server *Transport) {
	t.Helper()
	client, server = New("a", quiet()), New("b", quiet())
	server.Handle("echo", handler)
	l := listen(t)
	server.Start(l)
	client.SetAddress("b", l.Addr().String())
	t.Cleanup(client.Close)
	t.Cleanup(server.Close)
	return client, server
}

// Guards against answers that reach the wrong call when many are open at once.
func TestCallsGetTheirOwnAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	client, _ := pair(t, func(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
		var e echo
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return nil, err
		}
		if e.Text == "bad" {
			return nil, errors.New("refused")
		}
		return msgpack.Marshal(echo{Text: string(from) + e.Text})
	})
	results := make(chan error, 100)
	for i := range 100 {
		go func() {
			var got echo
			text := string(rune('a' + i%26))
			err := client.Call(context.Background(), "b", "echo", echo{Text: text}, &got)
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
	err := client.Call(context.Background(), "b", "echo", echo{Text: "bad"}, nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(client.Call(context.Background(), "b", "other", echo{}, nil)).To(gomega.MatchError(gomega.ContainSubstring("unknown message kind")))
	g.Expect(client.Call(context.Background(), "c", "echo", echo{}, nil)).To(gomega.MatchError(ErrUnavailable))
}

// Guards against calls that hang for ever when the connection is lost, and
// against a transport that does not reconnect.
func TestLostConnectionFailsOpenCallsAndReconnects(t *testing.T) {
	g := gomega.NewWithT(t)
	entered := make(chan struct{}, 1)
	block := make(chan struct{})
	client, server := pair(t, func(ctx context.Context, _ core.NodeID, body []byte) ([]byte, error) {
		var e echo
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
	go func() { result <- client.Call(context.Background(), "b", "echo", echo{Text: "wait"}, nil) }()
	<-entered
	server.mu.Lock()
	for conn := range server.accepted {
		_ = conn.Close()
	}
	server.mu.Unlock()
	g.Expect(<-result).To(gomega.MatchError(ErrUnavailable))
	close(block)
	g.Eventually(func() error {
		return client.Call(context.Background(), "b", "echo", echo{Text: "x"}, nil)
	}, 5*time.Second).Should(gomega.Succeed())
}

// Guards against a peer that makes a node allocate an arbitrary amount.
func TestOversizedFrameEndsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, server := pair(t, nil)
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	var prefix [lengthBytes]byte
	binary.BigEndian.PutUint32(prefix[:], MaxFrameBytes+1)
	_, err = conn.Write(prefix[:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
}
