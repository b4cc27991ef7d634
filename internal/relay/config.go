package relay

import (
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/settings"
)

// Config holds the dependencies of a Relay. All fields except Scope are required.
type Config struct {
	Acquirer Acquirer
	// Engines and Services return the backend server at an address.
	Engines  func(address string) backend.Engine
	Services func(address string) backend.Service
	Settings func() *settings.Snapshot
	Budget   Budget
	Scope    tally.Scope // nil: no metrics
}
