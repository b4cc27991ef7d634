package callerconn

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

// stopCheckInterval is the time between checks whether a stopping node still has
// something to do for callers.
const stopCheckInterval = 20 * time.Millisecond

// Server serves the callers' connections of a node. The limits of the operator's
// configuration apply to all connections as soon as the node knows them.
type Server struct {
	// MaxConns is the number of open connections above which connections that wait for a
	// request end. 0 means no limit. It must not be changed after Run is called.
	MaxConns int
	// EndIncomplete, if set, ends a request that is not yet received completely, and
	// reports whether there is one. It is called when there are too many connections and
	// none has waited for long. It must not be changed after Run is called.
	EndIncomplete func() bool

	http     http.Server
	handler  http.Handler
	limits   func() routetable.Limits
	listener *netopt.Drainable
	log      *slog.Logger
	closures *closures
	accepted chan struct{} // closed when no more connections are accepted

	// known are the limits that were logged last.
	known atomic.Pointer[limits]
	// end is why the node ends connections on which no request is in progress, or all
	// of them.
	end atomic.Int32

	// evicted is the number of connections that end because there are too many.
	evicted atomic.Int32

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns the server of a listener. The limits are those of the operator's
// configuration.
func New(listener *netopt.Drainable, handler http.Handler, limits func() routetable.Limits, scope tally.Scope, log *slog.Logger) *Server {
	s := &Server{
		handler: handler, limits: limits, listener: listener, log: log, closures: &closures{log: log, scope: scope},
		accepted: make(chan struct{}), conns: make(map[*conn]struct{}),
	}
	s.http = http.Server{
		Handler: s, ConnContext: withConn, ConnState: stateChanged, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		MaxHeaderBytes: math.MaxInt32, // the connection limits a head by the current configuration
	}
	return s
}

// Run accepts connections until Shutdown.
func (s *Server) Run() {
	defer close(s.accepted)
	if err := s.http.Serve(&listener{Drainable: s.listener, server: s}); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("HTTP server for callers failed", "error", err)
	}
}

// currentLimits returns the limits that apply now.
func (s *Server) currentLimits() limits {
	now := newLimits(s.limits())
	if before := s.known.Load(); (before == nil || *before != now) && s.known.CompareAndSwap(before, &now) {
		s.log.Info("limits of callers' connections", "header_bytes", now.headerBytes,
			"header_timeout", now.headerTimeout.String(), "idle_timeout", now.idleTimeout.String())
	}
	return now
}

// ending reports whether connections without a request in progress are to end.
func (s *Server) ending() bool { return s.end.Load() != int32(causeUnknown) }

// open makes an accepted connection one of the server. It returns nil if there are too
// many, and has then closed it.
func (s *Server) open(raw net.Conn) *conn {
	s.mu.Lock()
	open := len(s.conns) + 1
	s.mu.Unlock()
	if !s.makeRoom(open) {
		s.refuse(raw)
		return nil
	}
	c := newConn(raw, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// closing records the end of a connection.
func (s *Server) closing(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if cause(s.end.Load()) == causeGraceOver {
		c.blame(causeGraceOver)
	}
	c.stay()
	s.closures.record(c, c.currentPhase(), cause(c.cause.Load()))
}

// rejected logs that a connection responded to a request in place of the HTTP server.
func (s *Server) rejected(c *conn, status int) {
	s.log.Info("request refused", "reason", http.StatusText(status), "status", status, "bytes", c.headBytes, "remote", c.RemoteAddr().String())
}

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Shutdown accepts the connections that wait in the kernel's queue, closes the
// listener, serves what it has accepted, and ends the connections on which no request
// is in progress. It fails if ctx ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.listener.Drain()
	_ = s.listener.Close()
	<-s.accepted
	s.end.CompareAndSwap(int32(causeUnknown), int32(causeStop))
	open := s.openConns()
	s.log.Info("no more connections of callers are accepted", "open", len(open))
	for _, c := range open {
		c.checkWait()
	}
	return s.wait(ctx, func() bool { return len(s.openConns()) == 0 })
}

func (s *Server) wait(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.end.Store(int32(causeGraceOver))
	_ = s.http.Close() // the process ends in any case
}
