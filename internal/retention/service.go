package retention

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/settings"
)

// Service deletes the expired data under the prefixes that this node owns.
type Service struct {
	options  Options
	sweepers []*sweeper
}

// NewService returns a Service that is idle until Run is called.
func NewService(options Options) *Service {
	if options.Config == (Config{}) {
		options.Config = DefaultConfig()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	options.Scope = options.Scope.SubScope("retention")
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{options: options}
	for _, p := range []struct {
		prefix     string
		rowDeleter rowDeleter
	}{
		{intent.RowPrefix, intentDeleter{}}, {settings.LogPrefix, settingsLogDeleter{}},
		{records.JobKeyPrefix, jobDeleter{}}, {records.FileKeyPrefix, fileDeleter{}},
	} {
		s.sweepers = append(s.sweepers, newSweeper(&s.options, p.prefix, p.rowDeleter))
	}
	return s
}

// Run sweeps all owned prefixes until ctx ends. It starts once the settings are
// loaded.
func (s *Service) Run(ctx context.Context) {
	if s.options.Ready != nil {
		select {
		case <-s.options.Ready:
		case <-ctx.Done():
			return
		}
	}
	var group sync.WaitGroup
	for _, sw := range s.sweepers {
		group.Go(func() { sw.run(ctx) })
	}
	group.Wait()
}
