package httpsend

import (
	"net/http/httptrace"
	"sync"
)

// connTracker records the connections that the transport uses for one request,
// to tell whether any byte of the request may have been sent.
type connTracker struct {
	replayable bool

	mu           sync.Mutex
	conn         *trackedConn
	writesBefore int64 // writes begun on conn before this request
	untracked    bool  // the transport used a connection that is not a trackedConn
}

func (t *connTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn records the connection that the transport obtained. When a reused
// connection breaks, the transport retries some requests by itself: those
// without a body that are GETs or carry an Idempotency-Key header. If the
// request may have been sent already and is not replayable, gotConn stops
// writes on the second connection before the transport uses it.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	conn := findTrackedConn(info.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn == nil {
		t.untracked = true
		return
	}
	if t.conn != nil && !t.replayable && t.conn.writesBegun.Load() > t.writesBefore {
		conn.stopWrites(conn.writesBegun.Load())
		return
	}
	t.conn, t.writesBefore = conn, conn.writesBegun.Load()
	conn.head.expect()
}

// abort stops further writes of the request and reports whether any byte
// of it may have been sent.
func (t *connTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return t.untracked
	}
	return t.conn.stopWrites(t.writesBefore) || t.untracked
}
