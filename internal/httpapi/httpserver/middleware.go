package httpserver

import (
	"net/http"
	"runtime/debug"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
)

// middleware wraps the handler of a server: it assigns request IDs, limits request
// bodies and recovers from panics.
type middleware struct{ Options }

// ServeHTTP implements http.Handler.
func (m *middleware) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := m.NewID()
	w.Header().Set(httpapi.RequestIDHeader, id)
	r = r.WithContext(httpapi.WithRequestID(r.Context(), id))
	streams := m.Streams(r.URL.Path)
	body := limitBody(w, r, streams, m.Memory)
	response := &response{ResponseWriter: w, streamed: streams}
	defer body.limitDiscard()
	defer body.release()
	defer m.recoverPanic(response, r, id)
	m.Handler.ServeHTTP(response, r)
}

// recoverPanic handles a panic of the handler. If the response has not started,
// it responds with status 500. Otherwise it aborts the connection, so that the
// caller does not take a partial response for a complete one. The process keeps
// running because one request must not end the others in progress. Package contain
// does the same for other units of work. A panic in a periodic task means a broken
// invariant of shared state; it ends the process with a stack trace on the standard
// error.
func (m *middleware) recoverPanic(rw *response, r *http.Request, id string) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	m.Logger.Error("request handler panicked", "request", id, "method", r.Method, "path", r.URL.Path,
		"panic", v, "stack", string(debug.Stack()))
	if rw.started {
		panic(http.ErrAbortHandler)
	}
	clear(rw.Header())
	rw.Header().Set(httpapi.RequestIDHeader, id)
	httpapi.WriteRefusal(rw, core.Fail(core.CodeInternal, "internal error in request "+id))
}
