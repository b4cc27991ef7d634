package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Load is the load and the latency of a replica as known by its owner.
type Load struct {
	Replica core.ReplicaID `msgpack:"r"`
	// InUse counts the reservations of both classes that hold a slot, including
	// preempted ones that are not released yet.
	InUse int `msgpack:"u"`
	// Batch counts the batch reservations in InUse. Online work can preempt them.
	Batch int `msgpack:"b,omitempty"`
	// Queued counts the waiting online requests.
	Queued int `msgpack:"q,omitempty"`
	// BatchQueued counts the waiting batch requests.
	BatchQueued int `msgpack:"w,omitempty"`
	Slots       int `msgpack:"s"`
	// FirstToken and PerToken are the median time to the first token and the
	// median time per token of the last observations of all holders; 0 means
	// unknown. Observations is the number of observations received so far, the
	// larger number of the two.
	FirstToken   time.Duration `msgpack:"f,omitempty"`
	PerToken     time.Duration `msgpack:"t,omitempty"`
	Observations int           `msgpack:"o,omitempty"`
}
