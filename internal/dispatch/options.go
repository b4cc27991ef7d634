package dispatch

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// Options are the inputs of a Dispatcher. All fields but Seed are required.
type Options struct {
	DataCentre core.DataCentre
	Region     core.Region
	Members    func() *membership.View
	Replicas   func() *directory.View
	Settings   func() *settings.Snapshot
	Messenger  peer.Messenger
	// Owner serves the replicas that this node owns.
	Owner *owner.Service
	Now   func() time.Time
	// Seed starts the random source of the choices.
	Seed uint64
}
