package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Load is what the owner of a replica knows of its use.
type Load struct {
	Replica core.ReplicaID `msgpack:"r"`
	// InUse counts the reservations that hold a slot, of both classes. It
	// includes preempted ones that were not released yet.
	InUse int `msgpack:"u"`
	// Batch counts the batch reservations in InUse. They give way to online work.
	Batch int `msgpack:"b,omitempty"`
	// Queued counts the online requests that wait.
	Queued int `msgpack:"q,omitempty"`
	// BatchQueued counts the batch requests that wait.
	BatchQueued int `msgpack:"w,omitempty"`
	Slots       int `msgpack:"s"`
	// FirstToken and PerToken are the medians of the last few observations of
	// all holders; 0 means unknown. Observations counts them.
	FirstToken   time.Duration `msgpack:"f,omitempty"`
	PerToken     time.Duration `msgpack:"t,omitempty"`
	Observations int           `msgpack:"o,omitempty"`
}
