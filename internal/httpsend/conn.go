package httpsend

import (
	"errors"
	"net"
	"sync/atomic"
)

var errSealed = errors.New("connection is closed for further writes")

// trackedConn counts the writes begun on a connection and can be sealed, after
// which no write reaches the network.
type trackedConn struct {
	net.Conn
	begun  atomic.Int64
	sealed atomic.Bool
}

// Write counts before it checks the seal, so that a write either is seen by
// seal or sees the seal.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.begun.Add(1)
	if c.sealed.Load() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// seal stops further writes and reports whether one was begun after the count
// was start.
func (c *trackedConn) seal(start int64) bool {
	c.sealed.Store(true)
	sent := c.begun.Load() > start
	_ = c.Close()
	return sent
}

// tracked finds the trackedConn below a connection of the transport.
func tracked(conn net.Conn) *trackedConn {
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
