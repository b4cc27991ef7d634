package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// KeepAliveIdle is how long a connection is idle before the kernel sends the
	// first probe. With the interval and count below, a dead peer is detected
	// after 2 s, which is within the 3 s that a machine has to recover after an
	// outage of its network.
	KeepAliveIdle = time.Second
	// KeepAliveInterval is the time between unanswered probes.
	KeepAliveInterval = 500 * time.Millisecond
	// KeepAliveCount is the number of unanswered probes after which the kernel
	// resets the connection.
	KeepAliveCount = 2
	// UserTimeout (TCP_USER_TIMEOUT) is how long sent data may stay
	// unacknowledged before the kernel resets the connection. It is several
	// hundred round trips between data centres.
	UserTimeout = 1500 * time.Millisecond
)

// Dialer returns a dialer that enables keep-alive probes and the TCP user
// timeout on its connections. The argument bounds connection set-up.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a listener configuration that enables keep-alive probes
// on accepted connections. It does not set the TCP user timeout.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive()}
}

// KeepAlive returns the keep-alive configuration of dialled and accepted
// connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
