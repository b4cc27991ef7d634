package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// Options configures a Service. All fields are required.
type Options struct {
	Members   func() *membership.View
	Replicas  func() *directory.View
	Settings  func() *settings.Snapshot
	Messenger peer.Messenger
	Now       func() time.Time
}
