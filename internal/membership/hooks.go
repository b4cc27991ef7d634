package membership

import (
	"gentiantide.example/gentiantide/internal/core"
)

// Hooks connect membership to the packages whose data travels on its messages.
// Each may be nil.
type Hooks struct {
	SettingsVersion func() uint64
	// OnSettingsVersion is called when a node is known to have a version.
	OnSettingsVersion func(from core.NodeID, version uint64)
	// OwnStatus returns the state of the replicas that this node owns.
	OwnStatus func() []byte
	// CentreStatus returns the state of all replicas of this data centre.
	CentreStatus func() []byte
	// OnStatus receives either from another node.
	OnStatus func(from core.NodeID, status []byte)
	// OnView is called after the view has changed.
	OnView func(*View)
}
