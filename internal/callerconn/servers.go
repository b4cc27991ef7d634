package callerconn

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// DefaultHeaderTimeout, DefaultHeaderBytes and DefaultIdleTimeout apply while
	// the operator's configuration sets no limit.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultHeaderBytes   = 64 << 10
	DefaultIdleTimeout   = 60 * time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// Servers serves the callers' connections with the limits of the operator's
// configuration. An HTTP server cannot change its limits, so each change starts
// another one for the connections that are opened from then on. Those of the
// former servers are closed after their next response.
type Servers struct {
	handler  http.Handler
	limits   func() routetable.Limits
	log      *slog.Logger
	listener *netopt.Drainable
	closures *closures
	// ending is why open connections are closed, once the node stops.
	ending atomic.Int32

	current  atomic.Pointer[server]
	accepted chan struct{} // closed when no more connections are accepted

	mu      sync.Mutex
	servers []*server
}

// server is one HTTP server with fixed limits.
type server struct {
	http.Server
	limits routetable.Limits
	conns  *connQueue
}

// New returns the servers of a listener. The limits are those of the operator's
// configuration.
func New(listener *netopt.Drainable, handler http.Handler, limits func() routetable.Limits, scope tally.Scope, log *slog.Logger) *Servers {
	return &Servers{
		listener: listener, handler: handler, limits: limits, log: log, accepted: make(chan struct{}),
		closures: &closures{log: log, scope: scope},
	}
}

// Run accepts connections until Shutdown.
func (s *Servers) Run() {
	defer close(s.accepted)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.server().conns.put(s.newConn(conn))
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Usually too many open files; other connections must end first.
			s.log.Warn("a caller's connection could not be accepted", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Servers) newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, closures: s.closures, opened: time.Now(), ending: func() cause { return cause(s.ending.Load()) }}
}

// server returns the HTTP server with the present limits.
func (s *Servers) server() *server {
	limits := s.limits()
	if server := s.current.Load(); server != nil && server.limits.SameConnectionLimits(limits) {
		return server
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if server.limits.SameConnectionLimits(limits) {
			s.current.Store(server)
			return server
		}
	}
	server := s.newServer(limits)
	s.servers = append(s.servers, server)
	s.current.Store(server)
	go func() {
		if err := server.Serve(server.conns); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server for callers failed", "error", err)
		}
	}()
	return server
}

func (s *Servers) newServer(limits routetable.Limits) *server {
	server := &server{limits: limits, conns: newConnQueue(s.listener.Addr())}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if s.current.Load() != server {
			w.Header().Set("Connection", "close")
		}
		track(s.handler, w, in)
	})
	server.ConnContext = withConn
	server.ConnState = stateChanged
	server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	server.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, DefaultHeaderTimeout)
	server.MaxHeaderBytes = orDefault(limits.HeaderBytes, DefaultHeaderBytes)
	server.IdleTimeout = orDefault(limits.IdleTimeout, DefaultIdleTimeout)
	s.log.Info("limits of callers' connections", "header_bytes", server.MaxHeaderBytes,
		"header_timeout", server.ReadHeaderTimeout.String(), "idle_timeout", server.IdleTimeout.String())
	return server
}

func orDefault[T time.Duration | int](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// Shutdown accepts the connections that wait in the kernel's queue, closes the
// listener and waits until all requests have ended, or for ctx.
func (s *Servers) Shutdown(ctx context.Context) error {
	s.listener.Drain()
	_ = s.listener.Close()
	<-s.accepted
	s.ending.Store(int32(causeStop))
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(chan error, len(s.servers))
	for _, server := range s.servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	var err error
	for range s.servers {
		err = errors.Join(err, <-ended)
	}
	return err
}

// Close closes all connections at once.
func (s *Servers) Close() {
	s.ending.Store(int32(causeGraceOver))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // the process ends in any case
	}
}
