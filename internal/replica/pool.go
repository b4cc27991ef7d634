package replica

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/netopt"
)

const (
	// defaultIdleLimit is how long a connection is kept unused if the replica
	// does not say. It is below the shortest idle timeout of common servers.
	defaultIdleLimit = 4 * time.Second
	// idleShare is the part of a replica's idle timeout in which a connection
	// is used again. A request that crosses the replica's close is lost.
	idleShare = 0.6
	// dialTimeout bounds connection set-up, which takes about two one-way
	// delays of 1 ms within a region. A request whose set-up fails has not been
	// sent and goes elsewhere within its objective of 300 ms.
	dialTimeout = 200 * time.Millisecond
)

// pool keeps the unused connections to one replica, newest last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns an unused connection that is still good, or nil.
func (p *pool) get(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if c.fresh(now) && c.quiet() {
			return c
		}
		c.sever()
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

// expire closes the connections that are no longer to be used.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	kept := p.idle[:0]
	var old []*conn
	for _, c := range p.idle {
		if c.fresh(now) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.sever()
	}
}

// fresh reports whether an unused connection may be used again.
func (c *conn) fresh(now time.Time) bool {
	return now.Sub(c.idleSince) < time.Duration(float64(c.idleLimit)*idleShare)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range all {
		c.sever()
	}
}

func dial(ctx context.Context, address string) (*conn, error) {
	raw, err := netopt.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}
