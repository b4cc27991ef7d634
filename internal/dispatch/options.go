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

// Options configures a Dispatcher. All fields except Seed are required.
type Options struct {
	DataCentre core.DataCentre
	Region     core.Region
	Members    func() *membership.View
	Replicas   func() *directory.View
	Settings   func() *settings.Snapshot
	Messenger  peer.Messenger
	// Owner handles the reservations on the replicas that this node owns.
	Owner *owner.Service
	Now   func() time.Time
	// Seed is the seed of the random choices.
	Seed uint64
}
