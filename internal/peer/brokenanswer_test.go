package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// rawFrame returns a length prefix and a payload.
func rawFrame(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// brokenPeer accepts connections as the node "b", answers the first call with what a
// function returns, and the calls of later connections soundly.
func brokenPeer(t *testing.T, answer func(id uint64) []byte) *Transport {
	server, client := New("b", discardLogger()), New("a", discardLogger())
	listener := listenLoopback(t)
	t.Cleanup(func() { _ = listener.Close() })
	client.SetAddress("b", listener.Addr().String())
	t.Cleanup(client.Close)
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			broken := number == 0
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := server.acceptHandshake(conn, reader); err != nil {
					return
				}
				for {
					request, err := readFrame(reader, MaxFrameBytes)
					if err != nil {
						return
					}
					data, _ := encodeFrame(&frame{Type: frameResponse, ID: request.ID, Body: request.Body})
					if broken {
						data = answer(request.ID)
					}
					_, _ = conn.Write(data)
				}
			}()
		}
	}()
	return client
}

// Guards against bytes of a peer that are no answer and pass for one: for the
// acknowledgement of a message, or for an answer that says nothing.
func TestBrokenAnswerFailsItsCall(t *testing.T) {
	body := encode(t, echoMessage{Text: "x"})
	for name, answer := range map[string]func(id uint64) []byte{
		"frame without a body": func(id uint64) []byte { return rawFrame(encode(t, []any{frameResponse, id})) },
		"frame with one field": func(uint64) []byte { return rawFrame(encode(t, []any{frameResponse})) },
		"frame that is nil":    func(uint64) []byte { return rawFrame([]byte{0xc0}) },
		"empty frame":          func(uint64) []byte { return rawFrame(nil) },
		"map":                  func(id uint64) []byte { return rawFrame(encode(t, map[string]any{"ID": id, "Type": frameResponse})) },
		"bytes after the frame": func(id uint64) []byte {
			return rawFrame(append(encode(t, []any{frameResponse, id, "", body}), 0xc0))
		},
		"frame of a request":   func(id uint64) []byte { return rawFrame(encode(t, []any{frameRequest, id, "echo", body})) },
		"frame of a handshake": func(id uint64) []byte { return rawFrame(encode(t, []any{frameHello, id, "b", body})) },
		"frame of no type":     func(id uint64) []byte { return rawFrame(encode(t, []any{0, id, "", body})) },
		"no frame":             func(uint64) []byte { return []byte("HTTP/1.1 200 OK\r\n\r\n") },
	} {
		for _, wantsBody := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, body %t", name, wantsBody), func(t *testing.T) {
				g := gomega.NewWithT(t)
				client := brokenPeer(t, answer)
				var response any
				if wantsBody {
					response = new(echoMessage)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := client.Call(ctx, "b", "echo", echoMessage{Text: "x"}, response)
				g.Expect(err).To(gomega.MatchError(ErrUnavailable), "%v", response)
				g.Eventually(func() error { return client.Call(ctx, "b", "echo", echoMessage{Text: "x"}, response) }, "5s", "10ms").Should(gomega.Succeed(), "a further connection is opened")
			})
		}
	}
}

// Guards against the body of an answer that cannot be read and leaves the values that the
// caller had, or none.
func TestBrokenBodyFailsItsCall(t *testing.T) {
	whole := encode(t, echoMessage{Text: "x"})
	for name, body := range map[string][]byte{
		"empty": nil, "nil": {0xc0}, "cut": whole[:len(whole)-1], "bytes after it": append(whole[:len(whole):len(whole)], 0xc0), "number": {1}, "text": encode(t, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, _ := newPair(t, func(context.Context, core.NodeID, []byte) ([]byte, error) { return body, nil })
			var response echoMessage
			g.Expect(client.Call(t.Context(), "b", "echo", echoMessage{}, &response)).NotTo(gomega.Succeed())
		})
	}
}
