package cluster

import (
	"context"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/settings"
)

// fixedProber reports a fixed number of slots for every replica, without a
// backend server.
type fixedProber struct{ slots int }

// Probe implements directory.Prober.
func (p fixedProber) Probe(context.Context, settings.DeploymentKind, string) (backend.Load, error) {
	return backend.Load{Slots: p.slots}, nil
}
