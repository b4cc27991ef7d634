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
	// changes receives a signal after work ended, batch work began or a replica
	// reported its load. One signal may stand for several changes.
	changes chan struct{}

	mu  sync.Mutex
	all map[core.ReplicaID]*Replica
	// coalescing is the number of running calls of Coalesce. stale is set if the
	// view lacks changes that were made during them.
	coalescing int
	stale      bool
}

// view is an immutable snapshot of the registry.
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

// Put adds a replica or updates its registration. A change of the process start, of
// the address or of the software's version resets the state that is kept about the
// replica, as it shows another process.
func (g *Registry) Put(info Info) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, known := g.all[info.ID]
	if !known {
		r := newReplica(info, g.changes)
		r.republish = g.republish
		g.all[info.ID] = r
		g.publish()
		return
	}
	before := *old.Info()
	if before == info {
		return
	}
	old.info.Store(&info)
	if before.Started != info.Started || before.Address != info.Address || before.Version != info.Version {
		old.reset()
	}
	g.publish()
}

// Remove deletes a replica that is no longer registered. It reports whether the
// replica was known.
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

// Coalesce calls do and publishes the registry changes that do makes as one view.
// A view holds all replicas, so publishing one per change would make the cost of
// many changes quadratic. Calls may be nested or concurrent; the last one to
// return publishes.
func (g *Registry) Coalesce(do func()) {
	g.mu.Lock()
	g.coalescing++
	g.mu.Unlock()
	defer g.endCoalescing() // also if do panics
	do()
}

func (g *Registry) endCoalescing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coalescing--; g.coalescing == 0 && g.stale {
		g.publish()
	}
}

// publish builds and stores a new view, or leaves that to the end of a running
// Coalesce. The caller holds the lock.
func (g *Registry) publish() {
	if g.stale = g.coalescing > 0; g.stale {
		return
	}
	v := &view{services: make(map[core.DeploymentID][]*Replica), byID: make(map[core.ReplicaID]*Replica)}
	for _, r := range g.all {
		v.all = append(v.all, r)
		v.byID[r.Info().ID] = r
		if info := r.Info(); !r.Leaving() {
			v.services[info.Service] = append(v.services[info.Service], r)
		}
	}
	g.view.Store(v)
}

// republish publishes a view without a replica that has said that it is leaving.
func (g *Registry) republish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.publish()
}

// Ready returns the replicas of a service that take new work. The slice must not
// be changed.
func (g *Registry) Ready(service core.DeploymentID) []*Replica {
	return g.view.Load().services[service]
}

// All returns every registered replica. The slice must not be changed.
func (g *Registry) All() []*Replica { return g.view.Load().all }

// Get returns a replica by ID, or nil.
func (g *Registry) Get(id core.ReplicaID) *Replica { return g.view.Load().byID[id] }

// CountLimited returns the number of replicas that name a limit.
func (g *Registry) CountLimited() int {
	n := 0
	for _, r := range g.All() {
		if limit, ok := r.Limit(); ok && limit.Named {
			n++
		}
	}
	return n
}

// Changes receives a signal after this node's load on a replica changed or a
// replica reported its load. Online work that begins gives no signal, because the
// hub that placed it knows of it.
func (g *Registry) Changes() <-chan struct{} { return g.changes }

// ExpireIdle closes connections that have been idle for too long.
func (g *Registry) ExpireIdle(now time.Time) {
	for _, r := range g.All() {
		r.pool.closeExpired(now)
	}
}
