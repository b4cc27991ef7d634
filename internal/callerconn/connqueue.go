package callerconn

import (
	"net"
	"sync"
)

// connQueue is a listener whose connections another listener has accepted.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put passes a connection to Accept. It closes the connection if the queue is
// closed.
func (q *connQueue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close() // its request, if any, was not read
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
