package membership

import (
	"gentiantide.example/gentiantide/internal/core"
)

// Hooks connects the service to the packages whose data its messages carry. Each
// hook may be nil.
type Hooks struct {
	// SettingsVersion returns the version of this node's settings.
	SettingsVersion func() uint64
	// OnSettingsVersion is called when a node reports a newer settings version
	// than this node's.
	OnSettingsVersion func(from core.NodeID, version uint64)
	// OwnStatus returns the encoded status of the replicas that this node owns. It
	// is sent with heartbeats.
	OwnStatus func() []byte
	// DataCentreStatus returns the encoded status of all replicas of this data centre.
	// It is sent with digests.
	DataCentreStatus func() []byte
	// OnStatus is called with the encoded status that a heartbeat or digest of
	// another node carried.
	OnStatus func(from core.NodeID, status []byte)
	// OnView is called with the new view after the ID, state or incarnation of a
	// node has changed.
	OnView func(*View)
}
