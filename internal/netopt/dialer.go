package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// KeepAliveIdle is the silence after which the kernel probes a connection.
	// With the interval and count below, a peer that is gone is noticed after
	// 2 s, within the 3 s after which a machine counts as in touch again.
	KeepAliveIdle = time.Second
	// KeepAliveInterval is the time between probes.
	KeepAliveInterval = 500 * time.Millisecond
	// KeepAliveCount is the number of unanswered probes that break a
	// connection.
	KeepAliveCount = 2
	// UnackedTimeout breaks a connection whose sent data stays without
	// acknowledgement: several hundred round trips between data centres.
	UnackedTimeout = 1500 * time.Millisecond
)

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUnackedTimeout}
}

// ListenConfig returns a listener configuration whose connections notice a
// silent peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive()}
}

// KeepAlive returns the keep-alive probes of all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount}
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
