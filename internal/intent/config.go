package intent

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/infra"
)

// Config is what a Store works with.
type Config struct {
	Table infra.Table
	// NewID returns an id that is unique in the fleet and over restarts.
	NewID func() string
	// AwaitTimeout is how long a resend waits for the answer of an attempt that
	// is still running; 0: it is told at once that the outcome is unknown.
	AwaitTimeout time.Duration
	Scope        tally.Scope  // nil: no metrics
	Logger       *slog.Logger // nil: no log
}
