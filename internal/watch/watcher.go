package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/steady"
)

const (
	// followWait is how long one call waits for a change. A call that the store
	// will never answer must end before the node counts as in touch again, 3 s
	// after an outage.
	followWait = 2 * time.Second
	// backoffMin and backoffMax bound the pause after a failed call. The pause
	// after an outage must leave time to read the table within the same 3 s.
	backoffMin = 100 * time.Millisecond
	backoffMax = 600 * time.Millisecond
)

// Handler takes what a watcher learns. Its methods are called one at a time.
type Handler interface {
	// Snapshot takes all rows of the table. Rows that are absent are gone.
	Snapshot(rows []infra.VersionedRow)
	// Changed takes rows that were written or deleted.
	Changed(rows []infra.VersionedRow)
}

// Watcher follows one table.
type Watcher struct {
	Store      infra.PartitionedTable
	Table      string
	Partitions []string
	Handler    Handler
	Log        *slog.Logger
	// Interval is the least time between calls while there are changes, which
	// then come together. Each change costs a call of every node otherwise.
	Interval time.Duration

	// mu guards the copy and the calls of the handler.
	mu   sync.Mutex
	rows map[infra.RowKey]infra.VersionedRow

	version  uint64
	restored steady.Moment // of the first answer after a failure
	failing  atomic.Bool
	loaded   chan struct{}
}

// New returns a watcher of the partitions of a table.
func New(store infra.PartitionedTable, table string, partitions []string, handler Handler, log *slog.Logger) *Watcher {
	return &Watcher{
		Store: store, Table: table, Partitions: partitions, Handler: handler,
		Log: log.With("table", table), loaded: make(chan struct{}), rows: make(map[infra.RowKey]infra.VersionedRow),
	}
}

// Loaded is closed once the table has been read for the first time.
func (w *Watcher) Loaded() <-chan struct{} { return w.loaded }

// Restored returns when the store answered again after it had failed; ok is
// false if it never failed.
func (w *Watcher) Restored() (at time.Time, ok bool) { return w.restored.Get() }

// Failing reports whether the last call failed.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := backoffMin
	known := false
	for ctx.Err() == nil {
		err := w.step(ctx, known)
		switch {
		case err == nil:
			known = true
			pause = backoffMin
			w.answered()
		case errors.Is(err, infra.ErrHistoryLost):
			w.Log.Info("history lost, reading the table again", "version", w.version)
			known = false
		case ctx.Err() == nil:
			w.failed(err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, backoffMax)
		}
	}
}

// step makes one call: it reads the table, or waits for a change.
func (w *Watcher) step(ctx context.Context, known bool) error {
	if !known {
		return w.load(ctx)
	}
	began := time.Now()
	set, err := w.Store.Follow(ctx, w.Table, w.version, followWait)
	if err != nil {
		return err
	}
	if len(set.Rows) > 0 {
		defer func() { sleep(ctx, w.Interval-time.Since(began)) }()
	}
	if set.Version < w.version {
		w.Log.Warn("answer is older than one before, ignored", "version", set.Version, "known", w.version)
		return nil
	}
	w.version = set.Version
	if len(set.Rows) > 0 {
		w.mu.Lock()
		w.keep(set.Rows)
		w.Handler.Changed(set.Rows)
		w.mu.Unlock()
	}
	return nil
}

// keep takes rows into the copy. The caller holds the lock.
func (w *Watcher) keep(rows []infra.VersionedRow) {
	for i := range rows {
		row := &rows[i]
		switch known := w.rows[row.RowKey]; {
		case known.Version > row.Version:
		case row.Deleted:
			delete(w.rows, row.RowKey)
		default:
			w.rows[row.RowKey] = *row
		}
	}
}

// Copy returns the rows as this node knows them, for a neighbour.
func (w *Watcher) Copy() []infra.VersionedRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]infra.VersionedRow, 0, len(w.rows))
	for _, row := range w.rows {
		out = append(out, row)
	}
	return out
}

// Offer takes a neighbour's copy, unless the table itself has been read. It
// reports whether the copy was taken.
func (w *Watcher) Offer(rows []infra.VersionedRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.loaded:
		return false
	default:
	}
	if len(rows) == 0 {
		return false
	}
	w.keep(rows)
	w.Handler.Changed(rows)
	return true
}

// load reads all partitions. Changes are followed from the oldest of the reads.
func (w *Watcher) load(ctx context.Context) error {
	var rows []infra.VersionedRow
	var oldest uint64
	for i, partition := range w.Partitions {
		set, err := w.Store.Range(ctx, infra.RowRange{Table: w.Table, Partition: partition})
		if err != nil {
			return err
		}
		rows = append(rows, set.Rows...)
		if i == 0 || set.Version < oldest {
			oldest = set.Version
		}
	}
	if oldest < w.version {
		w.Log.Warn("table read is older than the known state, ignored", "version", oldest, "known", w.version)
		return infra.ErrUnavailable
	}
	w.version = oldest
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.rows)
	w.keep(rows)
	w.Handler.Snapshot(rows)
	select {
	case <-w.loaded:
	default:
		close(w.loaded)
	}
	return nil
}

func (w *Watcher) answered() {
	if w.failing.CompareAndSwap(true, false) {
		w.restored.Set(time.Now())
		w.Log.Info("store regained", "version", w.version)
	}
}

func (w *Watcher) failed(err error) {
	if w.failing.CompareAndSwap(false, true) {
		w.Log.Warn("store lost", "error", err, "version", w.version)
	}
}

// jitter spreads the returns of many nodes over half of the pause.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
