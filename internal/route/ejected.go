package route

import "gentiantide.example/gentiantide/internal/core"

// Ejected reports whether this node gives a replica no requests but test ones,
// because it is slow or failing.
func (r *Router) Ejected(id core.ReplicaID) bool {
	replica := r.table.Load().replicas[id]
	return replica != nil && replica.state.ejectedUntil.Load() != 0
}
