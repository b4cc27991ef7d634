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

// maxConcurrentHandlers bounds the messages of one connection that are handled
// concurrently. At the limit no further frame is read until a handler returns, so
// that TCP flow control slows down a peer that sends too fast.
const maxConcurrentHandlers = 256

const (
	// idleTimeout closes connections without traffic. Heartbeats come every 1 or
	// 2 s; a node that sends a message after a longer pause dials again.
	idleTimeout = 10 * time.Minute
	// frameTimeout bounds reading the rest of a frame after its first byte. A
	// frame of the maximum size, 1 MiB, takes well under 1 s between data centres.
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
			t.log.Warn("accepting a peer connection failed; retrying", "error", err)
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

// register records an accepted connection, so that Close closes it and waits for
// it. It returns false if the transport is closed.
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
	from, err := t.acceptHandshake(conn, reader)
	if err != nil {
		t.log.Warn("peer connection rejected", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	session := &session{transport: t, conn: conn, from: from, handlerSlots: make(chan struct{}, maxConcurrentHandlers)}
	err = session.run(reader)
	session.handlersWG.Wait()
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.log.Info("peer connection ended", "peer", session.from, "error", err)
	}
}

// session is one accepted connection, whose messages are passed to the handlers.
type session struct {
	transport    *Transport
	conn         net.Conn
	from         core.NodeID
	handlerSlots chan struct{}
	handlersWG   sync.WaitGroup
	writeMu      sync.Mutex
}

// run reads and handles messages until the connection ends, and returns the
// error that ended it.
func (s *session) run(reader *bufio.Reader) error {
	for {
		f, err := s.next(reader)
		if err != nil {
			return err
		}
		s.handlerSlots <- struct{}{}
		s.handlersWG.Add(1)
		go func() {
			defer func() { <-s.handlerSlots; s.handlersWG.Done() }()
			s.handle(f)
		}()
	}
}

// next reads a frame. Waiting for its first byte is bounded by idleTimeout,
// reading the rest by frameTimeout.
func (s *session) next(reader *bufio.Reader) (*frame, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	return readFrame(reader, MaxFrameBytes)
}

// handle passes a message to its handler and sends the response if the message is
// a request.
func (s *session) handle(f *frame) {
	response := &frame{Type: frameResponse, ID: f.ID}
	if body, err := s.transport.invoke(s.transport.baseCtx, s.from, f.Kind, f.Body); err != nil {
		response.Type, response.Body = frameError, []byte(err.Error())
	} else {
		response.Body = body
	}
	if f.Type != frameRequest {
		if response.Type == frameError {
			s.transport.log.Warn("one-way message not handled", "kind", f.Kind, "from", s.from, "error", string(response.Body))
		}
		return
	}
	data, err := encodeFrame(response)
	if err != nil {
		data, _ = encodeFrame(&frame{Type: frameError, ID: f.ID, Body: []byte(err.Error())})
	}
	s.write(data)
}

// write sends an encoded frame. If that fails it closes the connection, since the
// frame may have been sent in part.
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
