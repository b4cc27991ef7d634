package callerconn

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// closureLinesPerSecond limits the log lines about closed connections. A stop
	// closes all kept connections of a node at once.
	closureLinesPerSecond = 20
)

// closures counts and logs the connections that end without a response to a
// request.
type closures struct {
	log   *slog.Logger
	scope tally.Scope

	second     atomic.Int64 // Unix time of the last line
	lines      atomic.Int64 // in that second
	suppressed atomic.Int64 // since the last line
}

// record counts a connection that is about to be closed. It logs those that may have
// cost a caller its request. The others are usual: a caller that leaves, or a kept
// connection on which no request was on its way.
func (s *closures) record(c *conn, p phase, why cause) {
	if p == phaseAnswered {
		return
	}
	waiting := 0
	if why != causeCaller {
		waiting = unread(c.Conn)
	}
	s.scope.Tagged(map[string]string{"state": p.String(), "cause": why.String(), "unread": yesNo(waiting > 0)}).
		Counter("caller_connections_closed").Inc(1)
	if why == causeCaller || p <= phaseIdle && waiting == 0 || !s.mayLog() {
		return
	}
	s.log.Warn("caller's connection closed without a response", "state", p.String(), "cause", why.String(), "unread", waiting,
		"requests", c.requests.Load(), "open_ms", time.Since(c.opened).Milliseconds(), "remote", c.RemoteAddr().String(),
		"suppressed", s.suppressed.Swap(0))
}

// mayLog reports whether another line may be logged in this second.
func (s *closures) mayLog() bool {
	now := time.Now().Unix()
	if last := s.second.Load(); last != now && s.second.CompareAndSwap(last, now) {
		s.lines.Store(0)
	}
	if s.lines.Add(1) <= closureLinesPerSecond {
		return true
	}
	s.suppressed.Add(1)
	return false
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
