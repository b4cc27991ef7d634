package route

import "gentiantide.example/gentiantide/internal/core"

// Ejected reports whether this node has ejected a replica because it is slow or
// failing. An ejected replica gets only probes while others are usable.
func (r *Router) Ejected(id core.ReplicaID) bool {
	replica := r.table.Load().replicas[id]
	return replica != nil && replica.state.ejectedUntil.Load() != 0
}
