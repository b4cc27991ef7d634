package connlimit

import (
	"net"
	"net/http"
	"time"
)

const (
	// hardShare is how far the open connections may exceed the limit, while those that end
	// have not yet been closed.
	hardShare = 1.25
	// freshTime is how long a new connection is spared if another one waits. Callers send
	// their request as soon as the connection is open.
	freshTime = 300 * time.Millisecond
	// sample is the number of waiting connections of which the one that has waited longest
	// ends, so that a crowd of thousands costs little time for each.
	sample = 64
)

// Track follows the state of the connections of an HTTP server, as its ConnState. When
// the limit is reached, a connection that waits for a request ends in favour of a new
// one: one on which no whole head has arrived, or else one that is kept after a response.
func (l *Listener) Track(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		l.waiting[c] = wait{kept: state == http.StateIdle, since: time.Now()}
	default:
		delete(l.waiting, c)
	}
}

// wait is what a connection without a request waits for, and since when.
type wait struct {
	kept  bool
	since time.Time
}

// rank orders waiting connections; the lowest end first.
func (w wait) rank(now time.Time) int {
	switch {
	case w.kept:
		return 1
	case now.Sub(w.since) < freshTime:
		return 2
	}
	return 0
}

// makeRoom closes a waiting connection, or ends an incomplete request if none has waited
// for long. It reports whether there was one.
func (l *Listener) makeRoom(now time.Time) bool {
	victim, rank := l.longestWaiting(now)
	if (victim == nil || rank == 2) && l.EndIncomplete != nil && l.EndIncomplete() {
		return true
	}
	if victim == nil {
		return false
	}
	_ = victim.Close()
	l.ended.Add(1)
	l.logCrowd(victim.RemoteAddr())
	return true
}

func (l *Listener) longestWaiting(now time.Time) (victim *conn, least int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var since time.Time
	seen := 0
	for c, w := range l.waiting {
		if r := w.rank(now); victim == nil || r < least || r == least && w.since.Before(since) {
			victim, least, since = c, r, w.since
		}
		if seen++; seen == sample {
			break
		}
	}
	delete(l.waiting, victim)
	return victim, least
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, c)
}
