package dispatch

import "gentiantide.example/gentiantide/internal/core"

// Ejected reports whether this node has ejected a replica, which then gets only
// probes while others are usable.
func (d *Dispatcher) Ejected(id core.ReplicaID) bool { return d.router.Ejected(id) }
