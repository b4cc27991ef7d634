package httpserver

import (
	"net/http"
	"runtime/debug"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
)

// guard surrounds the handlers of a server.
type guard struct{ Options }

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := g.NewID()
	w.Header().Set(httpapi.RequestIDHeader, id)
	r = r.WithContext(httpapi.WithRequestID(r.Context(), id))
	streams := g.Streams(r.URL.Path)
	body := limitBody(w, r, streams)
	answer := &answer{ResponseWriter: w, paced: streams}
	defer body.release()
	defer g.recovered(answer, r, id)
	g.Handler.ServeHTTP(answer, r)
}

// recovered answers for a handler that panicked: with 500 if the answer has
// not begun, else by breaking the connection, so that the caller does not take
// a part for the whole. The process goes on, since one request must not end
// the others in progress. A panic in any other goroutine, that of a peer
// message, a batch worker or a periodic task, is a broken invariant of shared
// state and ends the process with its stack on the standard error.
func (g *guard) recovered(a *answer, r *http.Request, id string) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	g.Logger.Error("request handler panicked", "request", id, "method", r.Method, "path", r.URL.Path,
		"panic", v, "stack", string(debug.Stack()))
	if a.begun {
		panic(http.ErrAbortHandler)
	}
	clear(a.Header())
	a.Header().Set(httpapi.RequestIDHeader, id)
	httpapi.WriteRefusal(a, core.Fail(core.CodeInternal, "internal error in request "+id))
}
