package peer

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

// maxConcurrentHandlers bounds the requests of one connection that are served
// at once; reading stops until one ends, which slows a flooding peer down.
const maxConcurrentHandlers = 256

const (
	// idleTimeout ends connections that carry nothing. Heartbeats come every 1
	// or 2 s; a node that sends a message after a longer pause connects again.
	idleTimeout = 10 * time.Minute
	// frameTimeout bounds the reading of a frame after its first byte. The
	// largest frame of 1 MiB takes well under 1 s between data centres.
	frameTimeout = 10 * time.Second
)

func (t *Transport) acceptLoop(listener net.Listener) {
	defer t.serving.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.log.Warn("accept failed", "error", err)
			time.Sleep(redialDelay)
			continue
		}
		if !t.register(conn) {
			_ = conn.Close()
			return
		}
		go t.serve(conn)
	}
}

func (t *Transport) register(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.accepted[conn] = struct{}{}
	t.serving.Add(1)
	return true
}

func (t *Transport) unregister(conn net.Conn) {
	t.mu.Lock()
	delete(t.accepted, conn)
	t.mu.Unlock()
	_ = conn.Close()
	t.serving.Done()
}

func (t *Transport) serve(conn net.Conn) {
	defer t.unregister(conn)
	reader := bufio.NewReader(&countingReader{r: conn, n: &t.bytesRead})
	from, err := t.welcome(conn, reader)
	if err != nil {
		t.log.Warn("peer connection rejected", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	session := &session{transport: t, conn: conn, from: from, slots: make(chan struct{}, maxConcurrentHandlers)}
	err = session.run(reader)
	session.wait.Wait()
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.log.Info("peer connection ended", "peer", session.from, "error", err)
	}
}

// session serves one accepted connection.
type session struct {
	transport *Transport
	conn      net.Conn
	from      core.NodeID
	slots     chan struct{}
	wait      sync.WaitGroup
	writeMu   sync.Mutex
}

// run serves frames until the connection ends and returns why it ended.
func (s *session) run(reader *bufio.Reader) error {
	for {
		f, err := s.next(reader)
		if err != nil {
			return err
		}
		s.slots <- struct{}{}
		s.wait.Add(1)
		go func() {
			defer func() { <-s.slots; s.wait.Done() }()
			s.handle(f)
		}()
	}
}

// next reads a frame. Waiting for its first byte and reading the rest have
// limits of their own.
func (s *session) next(reader *bufio.Reader) (*frame, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	return readFrame(reader, MaxFrameBytes)
}

func (s *session) handle(f *frame) {
	answer := &frame{Type: frameAnswer, ID: f.ID}
	handler, ok := s.transport.handlers[f.Kind]
	if !ok {
		answer.Type, answer.Body = frameError, []byte("unknown message kind "+f.Kind)
	} else if body, err := handler(s.transport.baseCtx, s.from, f.Body); err != nil {
		answer.Type, answer.Body = frameError, []byte(err.Error())
	} else {
		answer.Body = body
	}
	if f.Type != frameRequest {
		return
	}
	data, err := encodeFrame(answer)
	if err != nil {
		data, _ = encodeFrame(&frame{Type: frameError, ID: f.ID, Body: []byte(err.Error())})
	}
	s.write(data)
}

func (s *session) write(data []byte) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.conn.Write(data); err != nil {
		_ = s.conn.Close()
		return
	}
	s.transport.bytesSent.Add(int64(len(data)))
}
