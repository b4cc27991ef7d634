package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
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

// ServeHTTP implements http.Handler. A request whose handler panics gets status 500,
// or an aborted response if it had begun.
func (s *Server) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	c := in.Context().Value(connKey{}).(*conn)
	c.requests.Add(1)
	c.setPhase(phaseServing)
	response := &response{ResponseWriter: w}
	if in.ContentLength != 0 {
		_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // a handler that reads sets its own
	}
	aborted, err := s.call(response, in)
	switch {
	case aborted:
		c.blame(causeAborted)
		c.abort(in)
	case err != nil && response.begun:
		c.blame(causePanic)
		c.abort(in)
	case err != nil:
		h := w.Header()
		clear(h)
		h.Set("Connection", "close")
		h.Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, `{"error":{"code":"internal"}}`+"\n") // fails only if the caller has disconnected
	}
	c.answer(in.ContentLength != 0, response.status >= http.StatusBadRequest && w.Header().Get("Connection") == "close")
}

// abort ends a connection whose response is not whole. Callers of HTTP/1.0 know no chunks:
// only a reset tells them that the end of the connection is not that of the response.
func (c *conn) abort(in *http.Request) {
	if resetter, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && !in.ProtoAtLeast(1, 1) {
		_ = resetter.SetLinger(0) // fails only if the connection is closed
	}
	panic(http.ErrAbortHandler)
}

// call runs the handler of one request. aborted is set if the handler gave the
// response up, err if it panicked.
func (s *Server) call(w http.ResponseWriter, in *http.Request) (aborted bool, err error) {
	defer contain.Error(s.log, "caller's request", in.Method+" "+in.RequestURI, &err)
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			aborted = true
		default:
			panic(v)
		}
	}()
	s.handler.ServeHTTP(w, in)
	return false, nil
}
