package retention

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// Options are the dependencies of a Service. Table, Objects, Members and
// Settings are required.
type Options struct {
	Config   Config // zero: DefaultConfig
	Table    infra.Table
	Objects  infra.Objects
	Members  func() *membership.View
	Settings func() *settings.Snapshot
	// Ready is closed once Settings returns the settings of the fleet. Sweeps wait
	// for it, since the default retentions may be shorter than those that an
	// operator has set. nil: no wait.
	Ready  <-chan struct{}
	Now    func() time.Time // nil: time.Now
	Scope  tally.Scope      // nil: no metrics
	Logger *slog.Logger     // nil: no log
}
