package platformnode

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// defaultHeaderTimeout, defaultHeaderBytes and defaultIdleTimeout apply while
	// the operator's configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	defaultIdleTimeout   = 60 * time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// callerServers serves the callers' connections with the limits of the operator's
// configuration. An HTTP server cannot change its limits, so each change starts
// another one for the connections that are opened from then on. Those of the
// former servers are closed after their next response.
type callerServers struct {
	handler  http.Handler
	limits   func() routetable.Limits
	log      *slog.Logger
	listener *netopt.Drainable

	current  atomic.Pointer[callerServer]
	accepted chan struct{} // closed when no more connections are accepted

	mu      sync.Mutex
	servers []*callerServer
}

// callerServer is one HTTP server with fixed limits.
type callerServer struct {
	http.Server
	limits routetable.Limits
	conns  *connQueue
}

func newCallerServers(listener *netopt.Drainable, handler http.Handler, limits func() routetable.Limits, log *slog.Logger) *callerServers {
	return &callerServers{listener: listener, handler: handler, limits: limits, log: log, accepted: make(chan struct{})}
}

// Run accepts connections until Shutdown.
func (s *callerServers) Run() {
	defer close(s.accepted)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.server().conns.put(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Usually too many open files; other connections must end first.
			s.log.Warn("a caller's connection could not be accepted", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// server returns the server with the present limits.
func (s *callerServers) server() *callerServer {
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

func (s *callerServers) newServer(limits routetable.Limits) *callerServer {
	server := &callerServer{limits: limits, conns: newConnQueue(s.listener.Addr())}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if s.current.Load() != server {
			w.Header().Set("Connection", "close")
		}
		s.handler.ServeHTTP(w, in)
	})
	server.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	server.ReadHeaderTimeout = orDefault(limits.HeaderTimeout, defaultHeaderTimeout)
	server.MaxHeaderBytes = orDefault(limits.HeaderBytes, defaultHeaderBytes)
	server.IdleTimeout = orDefault(limits.IdleTimeout, defaultIdleTimeout)
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
func (s *callerServers) Shutdown(ctx context.Context) error {
	s.listener.Drain()
	_ = s.listener.Close()
	<-s.accepted
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
func (s *callerServers) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // the process ends in any case
	}
}
