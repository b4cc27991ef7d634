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

// Service sweeps the prefixes that this node owns.
type Service struct {
	o      Options
	sweeps []*sweep
}

// NewService returns a service that does nothing until Run.
func NewService(o Options) *Service {
	if o.Config == (Config{}) {
		o.Config = DefaultConfig()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("retention")
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{o: o}
	for _, p := range []struct {
		prefix string
		kind   kind
	}{
		{intent.RowPrefix, intents{}}, {settings.LogPrefix, settingsLog{}},
		{records.JobRows, jobs{}}, {records.FileRows, files{}},
	} {
		s.sweeps = append(s.sweeps, newSweep(&s.o, p.prefix, p.kind))
	}
	return s
}

// Run sweeps until ctx ends. It begins once the settings are loaded.
func (s *Service) Run(ctx context.Context) {
	if s.o.Ready != nil {
		select {
		case <-s.o.Ready:
		case <-ctx.Done():
			return
		}
	}
	var group sync.WaitGroup
	for _, w := range s.sweeps {
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
}
