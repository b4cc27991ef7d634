package records

import "gentiantide.example/gentiantide/internal/core"

// Lease is the row of a session, which is a period in which a node may hold
// ranges. Deleting the row ends the session for good.
type Lease struct {
	Node    core.NodeID `msgpack:"node"`
	Session string      `msgpack:"session"`
	Counter uint64      `msgpack:"counter"`
}
