// Package connlimit limits the number of open connections of a listener.
package connlimit

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// logInterval is the minimum time between two log lines about refused connections.
const logInterval = time.Second

// Listener closes connections beyond its limit as soon as it has accepted them. It
// does not leave them in the accept queue, so that a load balancer tries another
// node at once.
type Listener struct {
	net.Listener
	log     *slog.Logger
	limit   int64
	open    atomic.Int64
	refused atomic.Int64 // since the last log line
	lastLog atomic.Int64 // time of the last log line in Unix nanoseconds
}

// New returns a listener with at most limit open connections.
func New(l net.Listener, limit int, log *slog.Logger) *Listener {
	return &Listener{Listener: l, limit: int64(limit), log: log}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &conn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
		l.logRefused(c.RemoteAddr())
	}
}

// logRefused counts a refused connection and logs the count at most once per
// logInterval.
func (l *Listener) logRefused(remote net.Addr) {
	refused := l.refused.Add(1)
	now := time.Now().UnixNano()
	if last := l.lastLog.Load(); now-last < int64(logInterval) || !l.lastLog.CompareAndSwap(last, now) {
		return
	}
	l.refused.Add(-refused)
	l.log.Warn("too many connections; new connections refused", "address", l.Addr().String(), "limit", l.limit, "refused", refused, "remote", remote.String())
}

// conn is a connection that counts towards the limit until its first Close.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
