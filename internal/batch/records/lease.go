package records

import "gentiantide.example/gentiantide/internal/core"

// Lease is the row of a session: a period in which a node holds ranges. Its
// deletion is the lapse of the session; a session is never opened again.
type Lease struct {
	Node    core.NodeID `msgpack:"node"`
	Session string      `msgpack:"session"`
	Counter uint64      `msgpack:"counter"`
}
