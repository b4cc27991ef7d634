package replica

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/netopt"
)

const (
	// defaultIdleTimeout is the assumed idle timeout of a replica that sends none in
	// a Keep-Alive header. It is below the shortest idle timeout of common servers.
	defaultIdleTimeout = 4 * time.Second
	// idleReuseShare is the fraction of the replica's idle timeout during which an
	// idle connection is reused. A request sent while the replica closes the
	// connection is lost.
	idleReuseShare = 0.6
	// dialTimeout limits connection set-up, which takes about two one-way delays
	// of 1 ms within a region. A request whose connection set-up fails has not been
	// sent and can go to another replica within its objective of 300 ms.
	dialTimeout = 200 * time.Millisecond
)

// pool holds the idle connections to one replica, most recently used last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get removes and returns an idle connection that can be reused for a request with an
// ID, or nil. It closes those that cannot.
func (p *pool) get(now time.Time, id string) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if c.withinIdleLimit(now) && c.mayCarry(id) && c.reusable() {
			return c
		}
		c.abort()
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeExpired closes the connections that have been idle for too long to be
// reused.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var expired []*conn
	for _, c := range p.idle {
		if c.withinIdleLimit(now) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.abort()
	}
}

// withinIdleLimit reports whether the connection has been idle for less than the
// reuse share of the replica's idle timeout.
func (c *conn) withinIdleLimit(now time.Time) bool {
	return now.Sub(c.idleSince) < time.Duration(float64(c.idleTimeout)*idleReuseShare)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range all {
		c.abort()
	}
}

func dial(ctx context.Context, address string) (*conn, error) {
	raw, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}
