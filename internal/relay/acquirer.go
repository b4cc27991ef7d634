package relay

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
)

// Acquirer gives work a slot on a backend server.
type Acquirer interface {
	// Acquire returns a slot that the caller must release, or the reason why
	// there is none.
	Acquire(ctx context.Context, ask dispatch.Request) (dispatch.Slot, *core.Refusal)
}
