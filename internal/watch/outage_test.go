package watch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// recoveryBound is the time after an outage of the store in which a node must know
// all earlier changes.
const recoveryBound = 3 * time.Second

// silentStore does not answer calls that are made, or are waiting, while it is
// silent, not even after the outage. As at the client of the platform's store, such
// a call ends 0.7 s after the time that the store may wait, but not before 1.5 s.
type silentStore struct {
	*infratest.Rows
	silent atomic.Bool
}

func (s *silentStore) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	if s.silent.Load() {
		return infra.RowSet{}, hang(ctx, 0)
	}
	return s.Rows.Range(ctx, r)
}

func (s *silentStore) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	started := time.Now()
	if s.silent.Load() {
		return infra.RowSet{}, hang(ctx, wait)
	}
	set, err := s.Rows.Follow(ctx, table, after, wait)
	if s.silent.Load() {
		return infra.RowSet{}, hang(ctx, wait-time.Since(started))
	}
	return set, err
}

// hang returns ErrUnavailable when a call that asked the store to wait has timed out.
func hang(ctx context.Context, wait time.Duration) error {
	sleep(ctx, max(1500*time.Millisecond, wait+700*time.Millisecond))
	return infra.ErrUnavailable
}

// Guards against a confirmed change of the configuration that is not in force 3 s
// after a silent outage of the store, because a call of the outage is still waited
// for: callers got 404 for a route that had been added.
func TestChangeIsKnownSoonAfterSilentOutage(t *testing.T) {
	for outage := 100 * time.Millisecond; outage <= 15*time.Second; outage += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store := &silentStore{Rows: infratest.NewRows()}
			r := &recorder{rows: make(map[string]string)}
			w := New(store, "t", []string{"0"}, r, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			go w.Run(ctx)
			<-w.Loaded()
			time.Sleep(1300 * time.Millisecond)
			store.silent.Store(true)
			time.Sleep(outage)
			store.silent.Store(false)
			writeRow(g, store.Rows, "0", "k", "changed")
			time.Sleep(recoveryBound)
			synctest.Wait()
			g.Expect(r.get("k")).To(gomega.Equal("changed"), "outage of %v", outage)
		})
	}
}
