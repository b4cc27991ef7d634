package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a caller's connection that knows what it is doing.
type conn struct {
	net.Conn
	closures *closures
	opened   time.Time
	requests atomic.Int32 // whose handlers have begun

	phase  atomic.Int32
	cause  atomic.Int32
	closed atomic.Bool
	// ending returns why the node ends connections, or causeUnknown if it does not.
	ending func() cause
}

func (c *conn) setPhase(p phase) { c.phase.Store(int32(p)) }

func (c *conn) currentPhase() phase { return phase(c.phase.Load()) }

// blame sets the cause of the end of the connection. Later causes are ignored.
func (c *conn) blame(why cause) { c.cause.CompareAndSwap(int32(causeUnknown), int32(why)) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if at := c.currentPhase(); n > 0 && at <= phaseIdle {
		c.setPhase(phaseHead)
	} else if err != nil {
		c.readFailed(at, err)
	}
	return n, err
}

// readFailed notes why a read failed. In the handler, a timeout is one of the body,
// which gets a response.
func (c *conn) readFailed(at phase, err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		switch at {
		case phaseIdle:
			c.blame(causeIdleTimeout)
		case phaseNew, phaseHead:
			c.blame(causeHeaderTimeout)
		}
	case errors.Is(err, net.ErrClosed): // by this node
	default:
		c.blame(causeCaller)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	switch c.currentPhase() {
	case phaseServing:
		c.setPhase(phaseResponding)
	case phaseHead, phaseRead:
		c.setPhase(phaseAnswered) // the HTTP server rejects the request
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.blame(causeCaller)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		if why := c.ending(); why != causeUnknown {
			c.blame(why)
		}
		c.closures.record(c, c.currentPhase(), cause(c.cause.Load()))
	}
	return c.Conn.Close()
}

// unread returns the number of bytes that were received and not read, up to
// maxUnread.
func (c *conn) unread() int {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		var buf [maxUnread]byte
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0)
}

// stateChanged follows the HTTP server, which calls it from the goroutine that serves
// the connection.
func stateChanged(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// The HTTP server also reports a head of which it cannot read the rest.
		if c.currentPhase() <= phaseHead && cause(c.cause.Load()) == causeUnknown {
			c.setPhase(phaseRead)
		}
	case http.StateIdle:
		c.setPhase(phaseIdle)
	}
}

type connKey struct{}

// withConn makes the connection known to the handler of its requests.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// track follows the handler of one request.
func track(handler http.Handler, w http.ResponseWriter, in *http.Request) {
	c, ok := in.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, in)
		return
	}
	c.requests.Add(1)
	c.setPhase(phaseServing)
	defer func() {
		v := recover()
		switch {
		case v == nil:
			c.setPhase(phaseAnswered)
			return
		case v == http.ErrAbortHandler:
			c.blame(causeAborted)
		default:
			c.blame(causePanic)
		}
		panic(v)
	}()
	handler.ServeHTTP(w, in)
}
