package replica

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// connBuffer holds the head of an answer or a few streamed events.
	connBuffer = 4 << 10
)

// conn is one connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the connection was put back.
	idleSince time.Time
	// idleLimit is how long the replica keeps the connection open unused.
	idleLimit time.Duration
	broken    atomic.Bool
}

func newConn(raw net.Conn) *conn {
	return &conn{
		Conn:      raw,
		reader:    bufio.NewReaderSize(raw, connBuffer),
		writer:    bufio.NewWriterSize(raw, connBuffer),
		idleLimit: defaultIdleLimit,
	}
}

// watch breaks the connection when the context ends. The function returned
// ends the watch and reports whether the connection is still whole.
func (c *conn) watch(ctx context.Context) func() bool {
	stop := context.AfterFunc(ctx, c.sever)
	return func() bool { return stop() && !c.broken.Load() }
}

// sever ends the exchange on the connection at once. The replica sees the
// channel close and drops the request.
func (c *conn) sever() {
	c.broken.Store(true)
	_ = c.Close() // the only error is a connection already closed
}

// quiet reports whether an idle connection is open and has no unread bytes. An
// extra answer that arrived meanwhile, or the replica's close, makes it unfit.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// drain reads the rest of a body that belongs to nobody.
func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayAnswer))
	if closeErr := body.Close(); err == nil {
		err = closeErr
	}
	return err
}
