package callerconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// withConn makes the connection known to the handler of its requests.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
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
		if c.currentPhase().awaiting() && cause(c.cause.Load()) == causeUnknown {
			c.setPhase(phaseRead)
		}
	case http.StateIdle:
		c.setPhase(phaseIdle)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	c := in.Context().Value(connKey{}).(*conn)
	c.requests.Add(1)
	c.setPhase(phaseServing)
	defer func() {
		v := recover()
		switch {
		case v == nil:
			c.phase.Store(int32(phaseAnswered))
			return
		case v == http.ErrAbortHandler:
			c.blame(causeAborted)
		default:
			c.blame(causePanic)
		}
		panic(v)
	}()
	s.handler.ServeHTTP(w, in)
}
