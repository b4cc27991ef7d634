// Package httpserver creates the HTTP servers of a node. They limit how much and
// how slowly a caller may send, and respond with an error if a handler panics.
package httpserver

import (
	"log/slog"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/memaccount"
)

const (
	// headerTimeout closes connections on which no complete request header
	// arrives.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections that are idle between requests. It is longer
	// than the 60 s after which load balancers usually drop idle connections, so
	// that a load balancer does not send a request on a connection that the server
	// is closing.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is far more than the headers of a request need. The default
	// of 1 MiB would let a caller occupy that much memory on each connection.
	maxHeaderBytes = 32 << 10
)

// Options configure a server.
type Options struct {
	Handler http.Handler
	// NewID returns a new request ID.
	NewID  func() string
	Logger *slog.Logger
	// Memory accounts for the bodies that handlers read with ReadBody. If it is nil, they
	// have no limit together.
	Memory *memaccount.Account
	// Streams reports whether requests to the path have long bodies or long
	// responses, which may take any time while they progress. If Streams is nil, no
	// path has.
	Streams func(path string) bool
}

// New returns a server with the limits of this package.
func New(o Options) *http.Server {
	if o.Streams == nil {
		o.Streams = func(string) bool { return false }
	}
	return &http.Server{
		Handler:           &middleware{o},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(o.Logger.Handler(), slog.LevelWarn),
	}
}
