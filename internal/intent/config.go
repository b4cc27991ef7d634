package intent

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/infra"
)

// Config holds the dependencies and options of a Store.
type Config struct {
	Table infra.Table
	// NewID returns an attempt ID that is unique in the fleet and across restarts.
	NewID func() string
	// AwaitTimeout is how long a resend waits for the response of an attempt that
	// is still running. With 0 the resend gets InProgressOrUnknown at once.
	AwaitTimeout time.Duration
	Scope        tally.Scope  // nil: no metrics
	Logger       *slog.Logger // nil: no log
}
