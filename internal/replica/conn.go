package replica

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// connBuffer is the size of the read and write buffers: enough for a response
	// head or a few streamed events.
	connBuffer = 4 << 10
	// maxCarried is the number of requests after which a connection is replaced, so
	// that the hashes of their IDs take at most 4 KiB.
	maxCarried = 512
)

// conn is one connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// upload writes the body of the present request, or is nil.
	upload *upload
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// idleTimeout is the idle timeout of the replica.
	idleTimeout time.Duration
	// carried holds hashes of the IDs of the requests that were sent, see mayCarry.
	carried []uint64
	// used is set if the connection has carried another request before. A late
	// second copy of its response may then still arrive.
	used    bool
	aborted atomic.Bool
}

func newConn(raw net.Conn) *conn {
	return &conn{
		Conn:        raw,
		reader:      bufio.NewReaderSize(raw, connBuffer),
		writer:      bufio.NewWriterSize(raw, connBuffer),
		idleTimeout: defaultIdleTimeout,
	}
}

// mayCarry reports whether a request with an ID may be sent on the connection. If it
// has carried one with the same ID, a late copy of that response could not be told from
// the response to this request.
func (c *conn) mayCarry(id string) bool {
	if len(c.carried) >= maxCarried {
		return false
	}
	return id == "" || !slices.Contains(c.carried, xxhash.Sum64String(id))
}

// watch aborts the connection when the context ends. The returned function ends
// the watch and reports whether the connection was not aborted.
func (c *conn) watch(ctx context.Context) func() bool {
	stop := context.AfterFunc(ctx, c.abort)
	return func() bool { return stop() && !c.aborted.Load() }
}

// abort closes the connection at once, also during an exchange. The replica then
// sees the connection close and drops the request.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.Close() // fails only if the connection is already closed
}

// reusable reports whether an idle connection is open and has no unread bytes. It
// must not be reused if the replica has closed it, or has sent a further response
// that the next request would read as its own.
func (c *conn) reusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && reusable
}
