package httpsend

import (
	"errors"
	"net"
	"sync/atomic"
)

var errWritesStopped = errors.New("writes on the connection were stopped")

// trackedConn counts the writes begun on a connection. After stopWrites, no
// further write reaches the network. It also checks the heads of responses: the
// transport sees a broken one as a failed read and drops the connection.
type trackedConn struct {
	net.Conn
	head          headCheck
	writesBegun   atomic.Int64
	writesStopped atomic.Bool
}

// Write increments the counter before it checks writesStopped. A write that
// runs concurrently with stopWrites is therefore either counted by it or
// rejected.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writesBegun.Add(1)
	if c.writesStopped.Load() {
		return 0, errWritesStopped
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.received(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// stopWrites rejects further writes, closes the connection, and reports whether
// more than writesBefore writes were begun on it.
func (c *trackedConn) stopWrites(writesBefore int64) bool {
	c.writesStopped.Store(true)
	sent := c.writesBegun.Load() > writesBefore
	_ = c.Close()
	return sent
}

// findTrackedConn returns the trackedConn that a connection of the transport
// wraps, or nil.
func findTrackedConn(conn net.Conn) *trackedConn {
	for {
		switch c := conn.(type) {
		case *trackedConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
