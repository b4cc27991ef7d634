package netopt

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lastAcceptTimeout is how long Drain goes on accepting connections. Those in the
// kernel's queue are accepted within a few milliseconds.
const lastAcceptTimeout = 100 * time.Millisecond

// Drainable is a TCP listener that can accept what is in the kernel's queue before
// it is closed. Closing a listener resets the connections in the queue, although
// callers may have sent their requests on them.
type Drainable struct {
	*net.TCPListener
	drained, closed         chan struct{}
	drainedOnce, closedOnce sync.Once
}

// NewDrainable returns a drainable listener. It must be accepted from until Drain
// has returned.
func NewDrainable(l *net.TCPListener) *Drainable {
	return &Drainable{TCPListener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. After Drain it waits for Close.
func (d *Drainable) Accept() (net.Conn, error) {
	conn, err := d.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.drainedOnce.Do(func() { close(d.drained) })
		<-d.closed
		return nil, net.ErrClosed
	}
	return conn, err
}

// Drain accepts the connections in the kernel's queue and those that arrive within
// lastAcceptTimeout. The caller then closes the listener.
func (d *Drainable) Drain() {
	if d.SetDeadline(time.Now().Add(lastAcceptTimeout)) != nil {
		return // it is closed
	}
	select {
	case <-d.drained:
	case <-d.closed:
	}
}

// Close implements net.Listener.
func (d *Drainable) Close() error {
	d.closedOnce.Do(func() { close(d.closed) })
	return d.TCPListener.Close()
}
