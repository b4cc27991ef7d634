package relay

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// Acquirer acquires slots on backend servers.
type Acquirer interface {
	// Acquire returns a slot, which the caller must release, or the reason why none
	// was granted.
	Acquire(ctx context.Context, request dispatch.Request) (dispatch.Slot, *core.Refusal)
}
