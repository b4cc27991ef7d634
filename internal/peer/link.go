package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/netopt"
)

// link is the outgoing connection to one node. It dials when there is a frame to
// send, and dials again after the connection is lost.
type link struct {
	transport *Transport
	node      core.NodeID
	address   string
	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	nextID    atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan *frame
}

func newLink(t *Transport, node core.NodeID, address string) *link {
	l := &link{
		transport: t,
		node:      node,
		address:   address,
		queue:     make(chan []byte, sendQueueFrames),
		done:      make(chan struct{}),
		pending:   make(map[uint64]chan *frame),
	}
	go l.run()
	return l
}

func (l *link) close() { l.closeOnce.Do(func() { close(l.done) }) }

// call sends a request and waits for its response.
func (l *link) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	id := l.nextID.Add(1)
	response := make(chan *frame, 1)
	l.mu.Lock()
	l.pending[id] = response
	l.mu.Unlock()
	defer l.removePending(id)
	if err := l.send(&frame{Type: frameRequest, ID: id, Kind: kind, Body: body}); err != nil {
		return nil, err
	}
	select {
	case f := <-response:
		return decodeResponse(f)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, ErrUnavailable
	}
}

// decodeResponse returns the body of a response, or its error. A nil frame means
// that the connection was lost.
func decodeResponse(f *frame) ([]byte, error) {
	switch {
	case f == nil:
		return nil, ErrUnavailable
	case f.Type == frameError:
		return nil, &RemoteError{Message: string(f.Body)}
	default:
		return f.Body, nil
	}
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// send queues a frame without waiting. It returns ErrUnavailable if the queue is
// full, which means that the peer does not keep up, or if the link is closed.
func (l *link) send(f *frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return ErrUnavailable
	default:
	}
	select {
	case l.queue <- data:
		return nil
	default:
		return ErrUnavailable
	}
}

// run connects whenever a frame is queued, until the link is closed.
func (l *link) run() {
	for {
		select {
		case <-l.done:
			return
		case data := <-l.queue:
			l.connectAndServe(data)
		}
		select {
		case <-l.done:
			return
		case <-time.After(redialDelay):
		}
	}
}

// connectAndServe dials, sends the first frame and those queued after it, and
// returns when the connection is lost. Pending calls then fail.
func (l *link) connectAndServe(first []byte) {
	conn, err := netopt.Dialer(dialTimeout).Dial("tcp", l.address)
	if err != nil {
		l.drainQueue()
		l.failPending()
		return
	}
	l.serve(conn, first)
	_ = conn.Close()
	l.drainQueue()
	l.failPending()
}

// serve authenticates a connection, then sends queued frames and reads responses
// until the connection is lost or the link is closed.
func (l *link) serve(conn net.Conn, first []byte) {
	reader := bufio.NewReader(&countingReader{r: conn, n: &l.transport.bytesRead})
	if err := l.transport.dialHandshake(conn, reader, l.node); err != nil {
		l.transport.log.Warn("peer connection rejected", "peer", l.node, "address", l.address, "error", err)
		return
	}
	connLost := make(chan struct{})
	go func() {
		l.readResponses(conn, reader)
		close(connLost)
	}()
	l.writeFrames(conn, first, connLost)
	_ = conn.Close()
	<-connLost
}

// writeFrames writes queued frames. It flushes only when the queue is empty, so
// that frames queued at the same time share a write.
func (l *link) writeFrames(conn net.Conn, first []byte, connLost <-chan struct{}) {
	writer := bufio.NewWriter(conn)
	data := first
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := writer.Write(data); err != nil {
			return
		}
		l.transport.bytesSent.Add(int64(len(data)))
		if len(l.queue) == 0 {
			if err := writer.Flush(); err != nil {
				return
			}
		}
		select {
		case data = <-l.queue:
		case <-connLost:
			return
		case <-l.done:
			return
		}
	}
}

func (l *link) readResponses(conn net.Conn, reader *bufio.Reader) {
	for {
		f, err := readFrame(reader, MaxFrameBytes)
		if err == nil && f.Type != frameResponse && f.Type != frameError {
			err = errors.Errorf("frame of type %d is no response", f.Type)
		}
		if err != nil {
			_ = conn.Close()
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				l.transport.log.Info("connection to peer ended", "peer", l.node, "error", err)
			}
			return
		}
		l.mu.Lock()
		response := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if response != nil {
			response <- f
		}
	}
}

// drainQueue drops the frames that were queued for a lost connection: the calls
// that they belong to fail, and one-way messages are best effort.
func (l *link) drainQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// failPending makes all pending calls return ErrUnavailable.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, response := range l.pending {
		delete(l.pending, id)
		response <- nil
	}
}
