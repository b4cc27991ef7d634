// Package connlimit bounds the number of open connections of a listener.
package connlimit

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// logInterval bounds the log lines of a listener at its limit.
const logInterval = time.Second

// Listener closes connections above its limit as soon as it has accepted them.
// They are not left waiting, so that a balancer tries another node at once.
type Listener struct {
	net.Listener
	log     *slog.Logger
	limit   int64
	open    atomic.Int64
	refused atomic.Int64 // since the last log line
	logged  atomic.Int64 // time of the last log line in nanoseconds since 1970
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
		l.note(c.RemoteAddr())
	}
}

func (l *Listener) note(remote net.Addr) {
	refused := l.refused.Add(1)
	now := time.Now().UnixNano()
	if last := l.logged.Load(); now-last < int64(logInterval) || !l.logged.CompareAndSwap(last, now) {
		return
	}
	l.refused.Add(-refused)
	l.log.Warn("too many connections", "address", l.Addr().String(), "limit", l.limit, "refused", refused, "remote", remote.String())
}

// conn is a connection that counts until it is closed.
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
