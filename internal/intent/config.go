package intent

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/platform"
)

// Config is what a Store works with.
type Config struct {
	Table platform.Table
	// NewID returns an id that is unique in the fleet and over restarts.
	NewID  func() string
	Scope  tally.Scope  // nil: no metrics
	Logger *slog.Logger // nil: no log
}
