package callerconn

import (
	"net"
	"time"
)

const (
	// hardShare is how far the open connections may exceed MaxConns, while those that end
	// have not yet been closed.
	hardShare = 1.25
	// evictionSample is the number of waiting connections of which the one that has waited
	// longest ends, so that a crowd of thousands costs little time for each.
	evictionSample = 64
	// unreadBodyTimeout bounds the time for which the HTTP server reads a body on that a
	// handler has not read.
	unreadBodyTimeout = 10 * time.Second
)

// rank says which waiting connections end first when there are too many.
type rank int

const (
	// rankStuck is a connection on which no whole head has arrived for a time, or on which
	// the rest of a body is awaited that nobody needs.
	rankStuck rank = iota
	// rankKept is one that is kept after a response.
	rankKept
	// rankFresh is one on which the caller has hardly had the time to send.
	rankFresh
	// rankBusy is one that is not waiting, or that is ending.
	rankBusy
)

func rankOf(p phase, waited time.Duration, evicted, discards bool) rank {
	switch {
	case discards && !evicted && waited >= firstBytesWait:
		return rankStuck
	case evicted || !p.awaiting():
		return rankBusy
	case p == phaseIdle:
		return rankKept
	case waited < firstBytesWait:
		return rankFresh
	}
	return rankStuck
}

// makeRoom ends a connection if too many are open: one that waits for a request, or one
// with an incomplete body. It reports false if the new one has to be closed at once, since
// those that end have not been closed yet.
func (s *Server) makeRoom(open int) bool {
	if s.MaxConns <= 0 || open-int(s.evicted.Load()) <= s.MaxConns {
		return s.MaxConns <= 0 || open <= s.hardLimit()
	}
	victim, r := s.longestWaiting(time.Now())
	ended := r >= rankFresh && s.EndIncomplete != nil && s.EndIncomplete()
	if !ended && victim != nil {
		victim.evict()
	}
	return open <= s.hardLimit()
}

// hardLimit is the number of connections that are open at once in any case.
func (s *Server) hardLimit() int { return int(float64(s.MaxConns) * hardShare) }

// longestWaiting returns the connection that has waited longest among those of the lowest
// rank of a sample, or nil if none waits.
func (s *Server) longestWaiting(now time.Time) (*conn, rank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *conn
	least, longest, seen := rankBusy, time.Duration(0), 0
	for c := range s.conns {
		r, waited := c.rank(now)
		if r == rankBusy {
			continue
		}
		if r < least || r == least && waited > longest {
			victim, least, longest = c, r, waited
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	return victim, least
}

// refuse closes a connection that was accepted beyond all bounds. Nothing of it was read.
func (s *Server) refuse(raw net.Conn) {
	s.closures.scope.Counter("caller_connections_refused").Inc(1)
	if s.closures.mayLog() {
		s.log.Warn("too many connections of callers; new one closed", "limit", s.MaxConns, "remote", raw.RemoteAddr().String(),
			"suppressed", s.closures.suppressed.Swap(0))
	}
	_ = raw.Close()
}

// rank returns the rank of the connection and how long it has waited.
func (c *conn) rank(now time.Time) (rank, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := now.Sub(c.since)
	return rankOf(c.currentPhase(), waited, c.evicted.Load(), c.discards), waited
}

// answer ends the handler's part of a request. The HTTP server then reads what is left of
// a body, before it sends a short response.
func (c *conn) answer(hasBody, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = hasBody && refused
	if hasBody {
		c.discards, c.since = true, time.Now()
	}
	c.phase.Store(int32(phaseAnswered))
}

// stay counts the connection no longer as one of those that end.
func (c *conn) stay() {
	if c.evicted.CompareAndSwap(true, false) {
		c.server.evicted.Add(-1)
	}
}

// evict ends the wait of the connection for a request, unless one has arrived.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentPhase().awaiting() || c.discards {
		if c.evicted.CompareAndSwap(false, true) {
			c.server.evicted.Add(1)
		}
		_ = c.Conn.SetReadDeadline(c.since)
	}
}
