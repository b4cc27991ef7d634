package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/netopt"
)

// link is the outgoing connection to one node. It dials on demand and again
// after a loss.
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
		queue:     make(chan []byte, sendQueue),
		done:      make(chan struct{}),
		pending:   make(map[uint64]chan *frame),
	}
	go l.run()
	return l
}

func (l *link) close() { l.closeOnce.Do(func() { close(l.done) }) }

// call sends a request and waits for its answer.
func (l *link) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	id := l.nextID.Add(1)
	answer := make(chan *frame, 1)
	l.mu.Lock()
	l.pending[id] = answer
	l.mu.Unlock()
	defer l.forget(id)
	if err := l.send(&frame{Type: frameRequest, ID: id, Kind: kind, Body: body}); err != nil {
		return nil, err
	}
	select {
	case f := <-answer:
		return decodeAnswer(f)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, ErrUnavailable
	}
}

func decodeAnswer(f *frame) ([]byte, error) {
	switch {
	case f == nil:
		return nil, ErrUnavailable
	case f.Type == frameError:
		return nil, &RemoteError{Message: string(f.Body)}
	default:
		return f.Body, nil
	}
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// send queues a frame. A full queue means that the peer does not keep up.
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

// run dials whenever there is something to send, until the link is closed.
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

// connectAndServe dials, sends the first frame and all that follow, and
// returns when the connection is lost. Calls that wait then fail.
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

// serve authenticates a connection and uses it until it is lost.
func (l *link) serve(conn net.Conn, first []byte) {
	reader := bufio.NewReader(&countingReader{r: conn, n: &l.transport.bytesRead})
	if err := l.transport.greet(conn, reader, l.node); err != nil {
		l.transport.log.Warn("peer connection rejected", "peer", l.node, "address", l.address, "error", err)
		return
	}
	lost := make(chan struct{})
	go func() {
		l.readAnswers(conn, reader)
		close(lost)
	}()
	l.writeFrames(conn, first, lost)
	_ = conn.Close()
	<-lost
}

// writeFrames writes queued frames and flushes when the queue is empty.
func (l *link) writeFrames(conn net.Conn, first []byte, lost <-chan struct{}) {
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
		case <-lost:
			return
		case <-l.done:
			return
		}
	}
}

func (l *link) readAnswers(conn net.Conn, reader *bufio.Reader) {
	for {
		f, err := readFrame(reader, MaxFrameBytes)
		if err != nil {
			_ = conn.Close()
			return
		}
		l.mu.Lock()
		answer := l.pending[f.ID]
		delete(l.pending, f.ID)
		l.mu.Unlock()
		if answer != nil {
			answer <- f
		}
	}
}

// drainQueue drops frames that were queued for a connection that is lost:
// their calls have failed, and one-way messages are best effort.
func (l *link) drainQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, answer := range l.pending {
		delete(l.pending, id)
		answer <- nil
	}
}
