package httpsend

import (
	"net/http/httptrace"
	"sync"
)

// attempt follows one request through the connections that the transport
// picks for it.
type attempt struct {
	replayable bool

	mu    sync.Mutex
	conn  *trackedConn
	start int64
	lost  bool // the connection in use cannot be tracked
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

// gotConn notes the connection. The transport repeats some requests when a
// reused connection breaks (those without a body that are GETs or carry an
// Idempotency-Key header). A second connection for a request that may have
// been sent is sealed before the transport can write to it.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn := tracked(info.Conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn == nil {
		a.lost = true
		return
	}
	if a.conn != nil && !a.replayable && a.conn.begun.Load() > a.start {
		conn.seal(conn.begun.Load())
		return
	}
	a.conn, a.start = conn, conn.begun.Load()
}

// fail ends the attempt and reports whether any byte may have been sent.
func (a *attempt) fail() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return a.lost
	}
	return a.conn.seal(a.start) || a.lost
}
