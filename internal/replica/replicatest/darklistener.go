package replicatest

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// fillTimeout is how long an attempt to connect takes that shows that the queue of a
	// listener is full.
	fillTimeout = 100 * time.Millisecond
	// maxFill bounds the connections that fill a queue.
	maxFill = 64
	// queueLength is that of a listener that is lit again.
	queueLength = 128
)

// DarkListener is a listener that can go dark, like that of a machine without power:
// attempts to connect to it get no answer.
type DarkListener struct {
	*net.TCPListener
	mu   sync.Mutex
	fill []net.Conn
}

// GoDark lets further attempts to connect go unanswered. The caller no longer accepts.
func (l *DarkListener) GoDark() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.setQueue(0); err != nil {
		return err
	}
	for range maxFill {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			return nil
		}
		l.fill = append(l.fill, c)
	}
	return syscall.ENOBUFS // the kernel goes on taking connections
}

// Light lets the listener answer again.
func (l *DarkListener) Light() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty()
	return l.setQueue(queueLength)
}

// Close closes the listener.
func (l *DarkListener) Close() error {
	err := l.TCPListener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty()
	return err
}

func (l *DarkListener) empty() {
	for _, c := range l.fill {
		_ = c.Close()
	}
	l.fill = nil
}

func (l *DarkListener) setQueue(length int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}
