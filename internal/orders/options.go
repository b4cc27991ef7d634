package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// Engine is a model engine that accepts orders.
type Engine interface {
	// Order sends an order. Errors: those of backend.Engine.Order.
	Order(ctx context.Context, order backend.Order) error
}

// Options are the dependencies of a Service. Members, Replicas, Settings,
// Engine, Report and Table are required.
type Options struct {
	Config   Config
	Members  func() *membership.View
	Replicas func() *directory.View
	Settings func() *settings.Snapshot
	// Engine returns the engine at an address.
	Engine func(address string) Engine
	// Report returns the last load report of a replica that this node polls.
	// Its Received time comes from the clock Now.
	Report func(core.ReplicaID) Report
	Table  infra.Table
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation int64
	Now         func() time.Time // nil: time.Now
	// Random returns a number from 0 to 1; nil: math/rand.
	Random func() float64
	Scope  tally.Scope  // nil: no metrics
	Logger *slog.Logger // nil: no log
}
