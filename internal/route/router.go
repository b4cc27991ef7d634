package route

import (
	"sync"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/settings"
)

// Router chooses replicas by the current table and records their health. Choose
// and Ejected are lock-free; the other methods may take a lock. All are safe for
// concurrent use.
type Router struct {
	dataCentre core.DataCentre
	region     core.Region
	table      atomic.Pointer[table]
	inputs     atomic.Pointer[tableInputs]

	mu     sync.Mutex
	states map[core.ReplicaID]*replicaState
}

// tableInputs are the views from which the current table was built.
type tableInputs struct {
	replicas *directory.View
	settings *settings.Snapshot
}

// NewRouter returns a Router for a node in the given data centre and region. Its
// table is empty until Update is called.
func NewRouter(dataCentre core.DataCentre, region core.Region) *Router {
	r := &Router{dataCentre: dataCentre, region: region, states: make(map[core.ReplicaID]*replicaState)}
	r.table.Store(&table{})
	return r
}

// Choose chooses a replica by the current table.
func (r *Router) Choose(q Query) Choice { return r.table.Load().choose(&q) }

// ChooseFrom chooses a replica from the views. If another caller is still building their
// table, it uses the one before, and waits for the new one only if the former has no replica
// for the query: it may be from before the first replicas were known.
func (r *Router) ChooseFrom(view *directory.View, snapshot *settings.Snapshot, q Query) Choice {
	r.Update(view, snapshot)
	choice := r.Choose(q)
	stale := r.inputs.Load()
	if choice.Replica != nil || r.built(view, snapshot) {
		return choice
	}
	r.mu.Lock()
	if r.inputs.Load() == stale {
		r.rebuild(view, snapshot)
		r.inputs.Store(&tableInputs{replicas: view, settings: snapshot})
	}
	r.mu.Unlock()
	return r.Choose(q)
}

// built reports whether the current table is that of the views.
func (r *Router) built(view *directory.View, snapshot *settings.Snapshot) bool {
	s := r.inputs.Load()
	return s != nil && s.replicas == view && s.settings == snapshot
}

// Update builds a new table if the views changed. If another caller is already
// doing so, it returns at once and the current table stays in use, except for
// the first table, for which it waits.
func (r *Router) Update(view *directory.View, snapshot *settings.Snapshot) {
	if r.built(view, snapshot) {
		return
	}
	first := r.inputs.Load() == nil
	if first {
		r.mu.Lock()
	} else if !r.mu.TryLock() {
		return
	}
	defer r.mu.Unlock()
	r.rebuild(view, snapshot)
	r.inputs.Store(&tableInputs{replicas: view, settings: snapshot})
}

func (r *Router) rebuild(view *directory.View, snapshot *settings.Snapshot) {
	t := &table{groups: make(map[core.DeploymentID]*replicaGroup), replicas: make(map[core.ReplicaID]*Replica)}
	all := view.All()
	for i := range all {
		r.addReplica(t, &all[i], snapshot)
	}
	for id := range r.states {
		if view.Replica(id) == nil {
			delete(r.states, id)
		}
	}
	r.table.Store(t)
}

func (r *Router) addReplica(t *table, info *directory.Replica, snapshot *settings.Snapshot) {
	s := r.states[info.ID]
	if s == nil {
		s = &replicaState{}
		r.states[info.ID] = s
	}
	replica := &Replica{Info: *info, state: s, hash: hashID(info.ID)}
	replica.Slots, replica.BatchSlots = slots(info, snapshot)
	replica.applyPublishedLoad()
	t.replicas[info.ID] = replica
	usable := info.State == directory.StateUp && replica.Slots > 0 && !snapshot.Backend(info.ID).Drain
	if !usable || info.Region != r.region {
		return
	}
	g := t.groups[info.Deployment]
	if g == nil {
		g = &replicaGroup{}
		t.groups[info.Deployment] = g
	}
	if info.DataCentre == r.dataCentre {
		g.local = append(g.local, replica)
	} else {
		g.remote = append(g.remote, replica)
	}
}

// applyPublishedLoad sets the estimate to the directory's load if that load
// changed. If the load is the same, the new view usually differs in other
// replicas, and the estimate is more accurate, because it includes the requests
// that this node has sent since.
func (r *Replica) applyPublishedLoad() {
	p := publishedLoad{known: true, inUse: r.Info.InUse, queued: r.Info.Queued, batch: r.Info.Batch}
	if p == r.state.published {
		return
	}
	r.state.published = p
	r.SetLoad(p.inUse-p.batch+p.queued, p.batch)
}

// slots returns the number of slots for all work and the number up to which batch
// work may use them.
func slots(info *directory.Replica, snapshot *settings.Snapshot) (all, batch int) {
	deployment := snapshot.Deployment(info.Deployment)
	if deployment == nil {
		return info.Slots, info.Slots
	}
	all = info.Slots
	if deployment.Slots > 0 {
		all = deployment.Slots
	}
	// As in owner.Limits, batch work may use one slot even if the headroom covers
	// all slots.
	return all, max(min(1, all), all-max(0, deployment.BatchHeadroom))
}

// Observe records the outcome of a request and ejects or readmits the replica.
// It returns true if the observation ends a passed probe.
func (r *Router) Observe(id core.ReplicaID, o Observation) (probePassed bool) {
	t := r.table.Load()
	replica := t.replicas[id]
	if replica == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordObservation(replica, t.usableReplicas(replica.Info.Deployment), o)
}
