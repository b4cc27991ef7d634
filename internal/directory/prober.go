package directory

import (
	"context"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/settings"
)

// Prober polls one backend server.
type Prober interface {
	// Probe returns the load report. Errors: backend.ErrUnreachable.
	Probe(ctx context.Context, kind settings.DeploymentKind, address string) (backend.Load, error)
}
