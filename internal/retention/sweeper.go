package retention

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// sweeper sweeps one prefix while this node owns it.
type sweeper struct {
	options    *Options
	prefix     string
	rowDeleter rowDeleter
	client     *client
	counts     *counts

	mu             sync.Mutex // guards the fields below, which the dump reads
	cursor         string     // key of the last processed row; empty between sweeps
	startedAt      time.Time
	endedAt        time.Time
	lastError      string
	startCounts    Counts // at the start of the sweep
	reportedCounts Counts // already added to the metrics; only run uses it
}

func newSweeper(options *Options, prefix string, d rowDeleter) *sweeper {
	c := &counts{}
	return &sweeper{options: options, prefix: prefix, rowDeleter: d, counts: c, client: newClient(options, c)}
}

// run sweeps the prefix whenever this node owns it, until ctx ends.
func (s *sweeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.options.Config.OwnerCheckInterval
		if s.owned() {
			wait = s.step(ctx)
		} else {
			s.setCursor("")
		}
		s.reportMetrics()
		_ = sleep(ctx, wait) // the loop ends with ctx
	}
}

// step processes one page of rows and returns the delay until the next step.
func (s *sweeper) step(ctx context.Context) time.Duration {
	cursor := s.currentCursor()
	if cursor == "" {
		s.setCursor("")
	}
	rows, err := s.client.scan(ctx, s.prefix, cursor, s.options.Config.PageRows)
	if err != nil {
		s.recordError(err)
		return s.options.Config.ErrorDelay
	}
	done := s.rowDeleter.deletePage(ctx, s, rows)
	if done || len(rows) < s.options.Config.PageRows {
		s.endSweep()
		return s.options.Config.SweepDelay
	}
	s.setCursor(rows[len(rows)-1].Key)
	return s.options.Config.PageDelay
}

// owned reports whether this node is the current owner of the prefix.
func (s *sweeper) owned() bool {
	members := s.options.Members()
	owner, ok := members.Owner("retention/"+s.prefix, "")
	return ok && owner == members.Self()
}

func (s *sweeper) settings() settings.Retention { return s.options.Settings().Retention() }

// deleteRows deletes rows that have no objects or other rows, and reports
// whether all calls succeeded. Rows that changed are kept.
func (s *sweeper) deleteRows(ctx context.Context, rows []infra.Row) bool {
	deleted, err := s.client.deleteRows(ctx, rows)
	s.counts.rows.Add(int64(deleted))
	s.handleError(ctx, err)
	return err == nil
}

// handleError counts a failed deletion, which the next sweep retries, and pauses
// after errors other than a conflict. It ignores a nil error.
func (s *sweeper) handleError(ctx context.Context, err error) {
	switch {
	case err == nil:
	case errors.Is(err, infra.ErrConflict):
		s.counts.conflicts.Add(1)
	default:
		s.recordError(err)
		_ = sleep(ctx, s.options.Config.ErrorDelay) // the caller's next call ends with ctx
	}
}

func (s *sweeper) recordError(err error) {
	s.counts.errors.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastError = err.Error()
}

func (s *sweeper) currentCursor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor
}

// setCursor sets the cursor. An empty cursor starts a sweep.
func (s *sweeper) setCursor(cursor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cursor = cursor; cursor == "" {
		s.startedAt, s.startCounts = time.Now(), s.counts.read()
	}
}

func (s *sweeper) endSweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor, s.endedAt = "", time.Now()
	if d := s.counts.read().minus(s.startCounts); d.Rows+d.Objects > 0 {
		s.options.Logger.Info("retention sweep ended", "prefix", s.prefix, "rows", d.Rows, "objects", d.Objects,
			"jobs", d.Jobs, "files", d.Files, "conflicts", d.Conflicts, "errors", d.Errors, "duration", s.endedAt.Sub(s.startedAt))
	}
}

// reportMetrics adds what was counted since the last call to the metrics.
func (s *sweeper) reportMetrics() {
	now := s.counts.read()
	scope := s.options.Scope.Tagged(map[string]string{"prefix": s.prefix})
	now.minus(s.reportedCounts).each(func(name string, n int64) {
		if n > 0 {
			scope.Counter(name).Inc(n)
		}
	})
	s.reportedCounts = now
}
