package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Registry is a node's list of the registered replicas. Reads are lock-free.
type Registry struct {
	view atomic.Pointer[view]
	// changes has an entry after work ended, batch work began or a replica
	// reported its load.
	changes chan struct{}

	mu  sync.Mutex
	all map[core.ReplicaID]*Replica
	// together is the number of calls of Together that go on; stale is set if the
	// view lacks changes that were made in them.
	together int
	stale    bool
}

// view is one immutable state of the registry.
type view struct {
	services map[core.DeploymentID][]*Replica
	byID     map[core.ReplicaID]*Replica
	all      []*Replica
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{all: make(map[core.ReplicaID]*Replica), changes: make(chan struct{}, 1)}
	r.view.Store(&view{})
	return r
}

// Put records a registration.
func (g *Registry) Put(info Info) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.all[info.ID]
	if !known {
		g.all[info.ID] = newReplica(info, g.changes)
		g.publish()
		return
	}
	before := *old.Info()
	if before == info {
		return
	}
	old.info.Store(&info)
	if before.Started != info.Started || before.Address != info.Address {
		old.reset()
	}
	g.publish()
}

// Remove drops a replica that is no longer registered.
func (g *Registry) Remove(id core.ReplicaID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.all[id]
	if !known {
		return false
	}
	delete(g.all, id)
	old.pool.closeAll()
	g.publish()
	return true
}

// Together makes the changes of do visible at once. A view holds every replica,
// so that one for each of many changes would cost the square of their number.
func (g *Registry) Together(do func()) {
	g.mu.Lock()
	g.together++
	g.mu.Unlock()
	do()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.together--; g.together == 0 && g.stale {
		g.publish()
	}
}

// publish makes a new view, now or at the end of Together. The caller holds the
// lock.
func (g *Registry) publish() {
	if g.stale = g.together > 0; g.stale {
		return
	}
	v := &view{services: make(map[core.DeploymentID][]*Replica), byID: make(map[core.ReplicaID]*Replica)}
	for _, r := range g.all {
		v.all = append(v.all, r)
		v.byID[r.Info().ID] = r
		if info := r.Info(); !info.Leaving {
			v.services[info.Service] = append(v.services[info.Service], r)
		}
	}
	g.view.Store(v)
}

// Ready returns the replicas of a service that take new work. The slice is not
// to be changed.
func (g *Registry) Ready(service core.DeploymentID) []*Replica {
	return g.view.Load().services[service]
}

// All returns every registered replica. The slice is not to be changed.
func (g *Registry) All() []*Replica { return g.view.Load().all }

// Get returns a replica by id, or nil.
func (g *Registry) Get(id core.ReplicaID) *Replica { return g.view.Load().byID[id] }

// Changes has an entry after this node's work at some replica changed, except
// for online work that began: its hub placed it.
func (g *Registry) Changes() <-chan struct{} { return g.changes }

// ExpireIdle closes connections that have been unused for too long.
func (g *Registry) ExpireIdle(now time.Time) {
	for _, r := range g.All() {
		r.pool.expire(now)
	}
}
