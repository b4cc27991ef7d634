package route

import (
	"sync"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/settings"
)

// Router holds the present table. Choose is lock-free; the other methods take
// a lock.
type Router struct {
	dataCentre core.DataCentre
	region     core.Region
	table      atomic.Pointer[table]
	source     atomic.Pointer[source]

	mu     sync.Mutex
	states map[core.ReplicaID]*state
}

// source is what the present table was made from.
type source struct {
	replicas *directory.View
	settings *settings.Snapshot
}

// NewRouter returns a router of a node in the given data centre.
func NewRouter(dataCentre core.DataCentre, region core.Region) *Router {
	r := &Router{dataCentre: dataCentre, region: region, states: make(map[core.ReplicaID]*state)}
	r.table.Store(&table{})
	return r
}

// Choose picks a replica by the present table.
func (r *Router) Choose(q Query) Choice { return r.table.Load().choose(&q) }

// Update makes a new table if the views changed. A caller that finds another
// one at it goes on with the present table.
func (r *Router) Update(view *directory.View, snapshot *settings.Snapshot) {
	if s := r.source.Load(); s != nil && s.replicas == view && s.settings == snapshot {
		return
	}
	first := r.source.Load() == nil
	if first {
		r.mu.Lock()
	} else if !r.mu.TryLock() {
		return
	}
	defer r.mu.Unlock()
	r.build(view, snapshot)
	r.source.Store(&source{replicas: view, settings: snapshot})
}

func (r *Router) build(view *directory.View, snapshot *settings.Snapshot) {
	t := &table{groups: make(map[core.DeploymentID]*group), replicas: make(map[core.ReplicaID]*Replica)}
	all := view.All()
	for i := range all {
		r.add(t, &all[i], snapshot)
	}
	for id := range r.states {
		if view.Replica(id) == nil {
			delete(r.states, id)
		}
	}
	r.table.Store(t)
}

func (r *Router) add(t *table, info *directory.Replica, snapshot *settings.Snapshot) {
	s := r.states[info.ID]
	if s == nil {
		s = &state{}
		r.states[info.ID] = s
	}
	replica := &Replica{Info: *info, state: s, hash: hashID(info.ID)}
	replica.Slots, replica.BatchSlots = slots(info, snapshot)
	replica.takePublished()
	t.replicas[info.ID] = replica
	usable := info.State == directory.StateUp && replica.Slots > 0 && !snapshot.Backend(info.ID).Drain
	if !usable || info.Region != r.region {
		return
	}
	g := t.groups[info.Deployment]
	if g == nil {
		g = &group{}
		t.groups[info.Deployment] = g
	}
	if info.DataCentre == r.dataCentre {
		g.local = append(g.local, replica)
	} else {
		g.remote = append(g.remote, replica)
	}
}

// takePublished replaces the estimate by the directory's load if that changed.
// A new view with the same load is usually one that changed elsewhere, and the
// estimate with what this node has sent since is better.
func (r *Replica) takePublished() {
	p := published{known: true, inUse: r.Info.InUse, queued: r.Info.Queued, batch: r.Info.Batch}
	if p == r.state.published {
		return
	}
	r.state.published = p
	r.SetLoad(p.inUse-p.batch+p.queued, p.batch)
}

// slots returns the numbers of slots for all work and for batch.
func slots(info *directory.Replica, snapshot *settings.Snapshot) (all, batch int) {
	service := snapshot.Deployment(info.Deployment)
	if service == nil {
		return info.Slots, info.Slots
	}
	all = info.Slots
	if service.Slots > 0 {
		all = service.Slots
	}
	// As in owner.Limits: batch may use one slot even if the headroom is all.
	return all, max(min(1, all), all-max(0, service.BatchHeadroom))
}

// Observe records the outcome of a request and ejects or returns the replica.
// It returns true for the end of a good test request.
func (r *Router) Observe(id core.ReplicaID, o Observation) (probeGood bool) {
	t := r.table.Load()
	replica := t.replicas[id]
	if replica == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observe(replica, t.group(replica.Info.Deployment), o)
}
