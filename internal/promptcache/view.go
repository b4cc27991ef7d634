package promptcache

import "gentiantide.example/gentiantide/internal/core"

// Process identifies one process of a replica. A replica that starts again keeps
// nothing of what it kept before.
type Process struct {
	Replica core.ReplicaID
	Started int64
	Version core.SoftwareVersion
}

// View is what the replicas of a service probably keep, by what was sent to them. It is
// not safe for concurrent use.
type View struct {
	replicas map[core.ReplicaID]*replicaView
}

type replicaView struct {
	process Process
	kept    *kept
}

// NewView returns a view of replicas that keep nothing.
func NewView() *View { return &View{replicas: make(map[core.ReplicaID]*replicaView)} }

// Match returns the number of tokens at the beginning of a prompt that a replica
// probably keeps.
func (v *View) Match(p Process, parts []Part) int {
	if r := v.replicas[p.Replica]; r != nil && r.process == p {
		return r.kept.match(parts)
	}
	return 0
}

// Sent records that a replica reads a prompt. capacity is the number of tokens that it
// keeps beside its running requests.
func (v *View) Sent(p Process, parts []Part, capacity int) {
	if len(parts) == 0 {
		return
	}
	r := v.replicas[p.Replica]
	if r == nil || r.process != p {
		r = &replicaView{process: p, kept: newKept(capacity)}
		v.replicas[p.Replica] = r
	}
	r.kept.capacity = capacity
	r.kept.use(parts)
}

// Retain forgets the replicas for which in returns false.
func (v *View) Retain(in func(core.ReplicaID) bool) {
	for id := range v.replicas {
		if !in(id) {
			delete(v.replicas, id)
		}
	}
}
