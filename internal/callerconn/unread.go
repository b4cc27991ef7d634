package callerconn

import (
	"errors"
	"net"
	"syscall"
)

// maxUnread is the largest number of unread bytes that is told from more.
const maxUnread = 4 << 10

// peek returns how many bytes were received and not read, up to maxUnread, or why
// none can be read. The error is syscall.EAGAIN if none have arrived.
func peek(conn net.Conn) (n int, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buf [maxUnread]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0), errors.Join(err, controlErr)
}

// unread returns the number of bytes that were received and not read.
func unread(conn net.Conn) int {
	n, _ := peek(conn)
	return n
}

// readable reports whether a read returns at once: bytes have arrived, or the peer
// has closed the connection.
func readable(conn net.Conn) bool {
	_, err := peek(conn)
	return !errors.Is(err, syscall.EAGAIN)
}
