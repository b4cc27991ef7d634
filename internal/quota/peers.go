package quota

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// probeInterval is the time between probes of a node that did not answer.
const probeInterval = 300 * time.Millisecond

// peers records which nodes answer.
type peers struct {
	mu sync.Mutex
	// downSince holds the nodes that did not answer, and have not since.
	downSince map[core.NodeID]time.Time
	probedAt  map[core.NodeID]time.Time
	heardAt   time.Time
	// returnedAt is when the node last got in touch with others again, or started.
	returnedAt time.Time
}

func newPeers(now time.Time) *peers {
	return &peers{downSince: make(map[core.NodeID]time.Time), probedAt: make(map[core.NodeID]time.Time), heardAt: now, returnedAt: now}
}

// heard notes that a node has answered.
func (p *peers) heard(id core.NodeID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touch(now)
	delete(p.downSince, id)
	delete(p.probedAt, id)
}

// failed notes that a node did not answer, and reports whether it was not known.
func (p *peers) failed(id core.NodeID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.downSince[id]; known {
		return false
	}
	p.downSince[id], p.probedAt[id] = now, now
	return true
}

// downFor returns how long a node has not answered.
func (p *peers) downFor(id core.NodeID, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, down := p.downSince[id]
	return now.Sub(since), down
}

// lastHeard returns the time since any other node was heard of.
func (p *peers) lastHeard(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heardAt)
}

// due returns the nodes to probe now. Nodes that are not known are forgotten.
func (p *peers) due(known func(core.NodeID) bool, now time.Time) []core.NodeID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.NodeID
	for id := range p.downSince {
		switch {
		case !known(id):
			delete(p.downSince, id)
			delete(p.probedAt, id)
		case now.Sub(p.probedAt[id]) >= probeInterval:
			p.probedAt[id] = now
			out = append(out, id)
		}
	}
	return out
}

// called notes that some node has called this one.
func (p *peers) called(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touch(now)
}

// touch notes that some node was heard of. The caller holds the lock.
func (p *peers) touch(now time.Time) {
	if now.Sub(p.heardAt) >= touchTime {
		p.returnedAt = now
	}
	p.heardAt = now
}

// woken notes that the process was stopped for a while.
func (p *peers) woken(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returnedAt = now
}

// returned reports whether the node has just got in touch with others.
func (p *peers) returned(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.returnedAt) < returnTime
}

// stopped notes that a node has said that it stops. It leases nothing any more.
func (p *peers) stopped(id core.NodeID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downSince[id], p.probedAt[id] = now.Add(-takeoverTime), now
}
