// Package httpserver makes the HTTP servers of a node: with limits on what a
// caller may send and how slowly, and with an answer if a handler panics.
package httpserver

import (
	"log/slog"
	"net/http"
	"time"
)

const (
	// headerTimeout ends connections that send no whole request header.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections between requests. It is longer than the 60 s
	// after which balancers usually drop idle connections, so that a balancer
	// does not send a request on a connection that is just being closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is far more than the headers of a request need; the default
	// of 1 MiB would let a caller use that much on each connection.
	maxHeaderBytes = 32 << 10
)

// Options are what a server is made of.
type Options struct {
	Handler http.Handler
	// NewID returns the id of a request.
	NewID  func() string
	Logger *slog.Logger
	// Streams reports whether the path takes long bodies or gives long answers,
	// which may take any time as long as they progress. nil: none does.
	Streams func(path string) bool
}

// New returns a server.
func New(o Options) *http.Server {
	if o.Streams == nil {
		o.Streams = func(string) bool { return false }
	}
	return &http.Server{
		Handler:           &guard{o},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(o.Logger.Handler(), slog.LevelWarn),
	}
}
