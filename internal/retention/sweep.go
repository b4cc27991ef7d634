package retention

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// sweep is the work of one node on one prefix.
type sweep struct {
	o      *Options
	prefix string
	kind   kind
	access *access
	counts *counts

	mu       sync.Mutex // guards the fields below for the dump
	cursor   string     // key of the last row that was judged
	began    time.Time
	ended    time.Time
	failure  string
	atBegin  Counts // when the sweep began
	reported Counts // to the metrics
}

func newSweep(o *Options, prefix string, k kind) *sweep {
	c := &counts{}
	return &sweep{o: o, prefix: prefix, kind: k, counts: c, access: newAccess(o, c)}
}

// run sweeps the prefix while this node owns it, until ctx ends.
func (s *sweep) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.o.Config.OwnerPause
		if s.owned() {
			wait = s.step(ctx)
		} else {
			s.begin("")
		}
		s.report()
		_ = pause(ctx, wait) // the loop ends with ctx
	}
}

// step reads and judges one page and returns the time until the next.
func (s *sweep) step(ctx context.Context) time.Duration {
	cursor := s.position()
	if cursor == "" {
		s.begin("")
	}
	rows, err := s.access.scan(ctx, s.prefix, cursor, s.o.Config.PageRows)
	if err != nil {
		s.failed(err)
		return s.o.Config.ErrorPause
	}
	last := s.kind.page(ctx, s, rows)
	if last || len(rows) < s.o.Config.PageRows {
		s.end()
		return s.o.Config.SweepPause
	}
	s.begin(rows[len(rows)-1].Key)
	return s.o.Config.PagePause
}

// owned reports whether this node is the present owner of the prefix.
func (s *sweep) owned() bool {
	members := s.o.Members()
	owner, ok := members.Owner("retention/"+s.prefix, "")
	return ok && owner == members.Self()
}

func (s *sweep) settings() settings.Retention { return s.o.Settings().Retention() }

// deleteRows deletes rows that need nothing else and reports whether all
// calls succeeded. Rows that changed stay.
func (s *sweep) deleteRows(ctx context.Context, rows []infra.Row) bool {
	gone, err := s.access.deleteRows(ctx, rows)
	s.counts.rows.Add(int64(gone))
	s.note(ctx, err)
	return err == nil
}

// note counts a failed deletion, which the next sweep tries again, and waits
// if the platform failed.
func (s *sweep) note(ctx context.Context, err error) {
	switch {
	case err == nil:
	case errors.Is(err, infra.ErrConflict):
		s.counts.conflicts.Add(1)
	default:
		s.failed(err)
		_ = pause(ctx, s.o.Config.ErrorPause) // the caller's next call ends with ctx
	}
}

func (s *sweep) failed(err error) {
	s.counts.errors.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err.Error()
}

func (s *sweep) position() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor
}

// begin moves the cursor; an empty one begins a sweep.
func (s *sweep) begin(cursor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cursor = cursor; cursor == "" {
		s.began, s.atBegin = time.Now(), s.counts.read()
	}
}

func (s *sweep) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor, s.ended = "", time.Now()
	if d := s.counts.read().minus(s.atBegin); d.Rows+d.Objects > 0 {
		s.o.Logger.Info("retention sweep ended", "prefix", s.prefix, "rows", d.Rows, "objects", d.Objects,
			"jobs", d.Jobs, "files", d.Files, "conflicts", d.Conflicts, "errors", d.Errors, "duration", s.ended.Sub(s.began))
	}
}

// report adds what was counted since the last report to the metrics.
func (s *sweep) report() {
	now := s.counts.read()
	scope := s.o.Scope.Tagged(map[string]string{"prefix": s.prefix})
	now.minus(s.reported).each(func(name string, n int64) {
		if n > 0 {
			scope.Counter(name).Inc(n)
		}
	})
	s.reported = now
}
