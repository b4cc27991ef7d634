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

// Listener closes connections beyond its limit as soon as it has accepted them, unless
// it knows of one that waits for a request (see Track). It does not leave them in the
// accept queue, so that a load balancer tries another node at once.
type Listener struct {
	net.Listener
	// EndIncomplete, if set, ends a request that is not yet received completely, and
	// reports whether there is one. It must not be changed after the first Accept.
	EndIncomplete func() bool

	log     *slog.Logger
	limit   int64
	open    atomic.Int64
	refused atomic.Int64 // since the last log line
	ended   atomic.Int64 // in favour of new ones, since the last log line
	lastLog atomic.Int64 // time of the last log line in Unix nanoseconds

	mu sync.Mutex
	// waiting are the connections that wait for a request.
	waiting map[*conn]wait
}

// New returns a listener with at most limit open connections.
func New(l net.Listener, limit int, log *slog.Logger) *Listener {
	return &Listener{Listener: l, limit: int64(limit), log: log, waiting: make(map[*conn]wait)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= l.limit || l.makeRoom(time.Now()) && open <= int64(float64(l.limit)*hardShare) {
			return &conn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
		l.logRefused(c.RemoteAddr())
	}
}

// logRefused counts a refused connection and logs it with others.
func (l *Listener) logRefused(remote net.Addr) {
	l.refused.Add(1)
	l.logCrowd(remote)
}

// logCrowd logs at most once per logInterval how many connections were refused or ended.
func (l *Listener) logCrowd(remote net.Addr) {
	now := time.Now().UnixNano()
	if last := l.lastLog.Load(); now-last < int64(logInterval) || !l.lastLog.CompareAndSwap(last, now) {
		return
	}
	l.log.Warn("too many connections", "address", l.Addr().String(), "limit", l.limit, "refused", l.refused.Swap(0), "ended", l.ended.Swap(0), "remote", remote.String())
}

// conn is a connection that counts towards the limit until its first Close.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.open.Add(-1)
		c.listener.forget(c)
	})
	return c.Conn.Close()
}
