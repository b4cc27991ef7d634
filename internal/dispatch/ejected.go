package dispatch

import "gentiantide.example/gentiantide/internal/core"

// Ejected reports whether this node gives a replica no requests but test ones.
func (d *Dispatcher) Ejected(id core.ReplicaID) bool { return d.router.Ejected(id) }
