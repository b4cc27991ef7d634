package callerconn

import (
	"errors"
	"net"
	"time"

	"gentiantide.example/gentiantide/internal/netopt"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// listener accepts the connections of a Server.
type listener struct {
	*netopt.Drainable
	server *Server
}

// Accept implements net.Listener. It fails only when the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Drainable.Accept()
		switch {
		case err == nil:
			if c := l.server.open(raw); c != nil {
				return c, nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default:
			// Usually too many open files; other connections must end first.
			l.server.log.Warn("a caller's connection could not be accepted", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}
