package watch

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/monotime"
)

const (
	// followTimeout is how long one call usually waits for a change. A node must be up to
	// date within 3 s after an outage of the store, so a call that the store will
	// never answer must end before that.
	followTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. A call that was
	// made in an outage and the delay after it must end well within the same 3 s.
	// Therefore calls do not wait for changes while the store does not answer.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Handler receives the rows of a watched table. Its methods are never called
// concurrently.
type Handler interface {
	// Snapshot receives all rows of the table. Other rows no longer exist.
	Snapshot(rows []infra.VersionedRow)
	// Changed receives rows that were written or deleted.
	Changed(rows []infra.VersionedRow)
}

// Watcher keeps a copy of one table and passes its changes to a handler.
type Watcher struct {
	Store      infra.PartitionedTable
	Table      string
	Partitions []string
	Handler    Handler
	Log        *slog.Logger
	// Interval is the least time between calls while rows change, so that several
	// changes arrive in one call. Otherwise each change costs one call of every
	// node.
	Interval time.Duration
	// Useful reports whether a row that the handler got means anything to a node. If
	// nil, all do. Other clients may leave large rows in the table, which are then
	// neither kept nor given to peers. It is called like the methods of the handler.
	Useful func(row *infra.VersionedRow) bool
	// Wait is how long a call waits for a change. A longer one costs fewer calls, and a
	// store that never answers is noticed later.
	Wait time.Duration

	// mu guards rows and serializes the calls of the handler.
	mu   sync.Mutex
	rows map[infra.RowKey]infra.VersionedRow

	// version is the version up to which the change feed was read.
	version  atomic.Uint64
	restored monotime.AtomicTime // when the first call succeeded after a failure
	contact  monotime.AtomicTime // when the latest call succeeded
	failing  atomic.Bool
	loaded   chan struct{}
}

// New returns a watcher of the given partitions of a table.
func New(store infra.PartitionedTable, table string, partitions []string, handler Handler, log *slog.Logger) *Watcher {
	return &Watcher{
		Store: store, Table: table, Partitions: partitions, Handler: handler,
		Log: log.With("table", table), Wait: followTimeout, loaded: make(chan struct{}), rows: make(map[infra.RowKey]infra.VersionedRow),
	}
}

// Loaded is closed once the table has been read for the first time.
func (w *Watcher) Loaded() <-chan struct{} { return w.loaded }

// RestoredAt returns when the store answered again after the last failure. ok is
// false if it has not recovered from any failure so far.
func (w *Watcher) RestoredAt() (at time.Time, ok bool) { return w.restored.Get() }

// ContactAge returns the time since the latest call that succeeded. The copy may
// lack changes made since. ok is false before the first such call.
func (w *Watcher) ContactAge(now time.Time) (age time.Duration, ok bool) {
	at, ok := w.contact.Get()
	if !ok {
		return 0, false
	}
	return now.Sub(at), true
}

// Failing reports whether the last call failed.
func (w *Watcher) Failing() bool { return w.failing.Load() }

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := minBackoff
	synced := false
	for ctx.Err() == nil {
		err := w.step(ctx, synced)
		switch {
		case err == nil:
			synced = true
			pause = minBackoff
			w.markReachable()
		case errors.Is(err, infra.ErrCompacted):
			w.Log.Info("change feed no longer reaches back to the known version; reading the table again", "version", w.version.Load())
			synced = false
		case ctx.Err() == nil:
			w.markFailing(err)
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxBackoff)
		}
	}
}

// step makes one call: it reads the table if it is not synced, or waits for changes.
func (w *Watcher) step(ctx context.Context, synced bool) error {
	if !synced {
		return w.load(ctx)
	}
	started := time.Now()
	wait := w.Wait
	if w.Failing() {
		wait = 0
	}
	set, err := w.Store.Follow(ctx, w.Table, w.version.Load(), wait)
	if err != nil {
		return err
	}
	if len(set.Rows) > 0 {
		defer func() { sleep(ctx, w.Interval-time.Since(started)) }()
	}
	if set.Version < w.version.Load() {
		w.Log.Warn("ignoring an answer that is older than the known version", "version", set.Version, "known", w.version.Load())
		return nil
	}
	w.version.Store(set.Version)
	if len(set.Rows) > 0 {
		w.apply(set.Rows)
	}
	return nil
}

// apply merges changed rows into the copy and passes them to the handler. The feed
// brings the changes of all partitions; those of others than the watched ones, in
// which other clients may use the same keys, are left out.
func (w *Watcher) apply(rows []infra.VersionedRow) {
	rows = slices.DeleteFunc(rows, func(row infra.VersionedRow) bool { return !slices.Contains(w.Partitions, row.Partition) })
	if len(rows) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mergeRows(rows)
	w.changed(rows)
	w.dropValues(rows)
}

// dropValues drops the values of the rows that turned out not to be useful when the
// handler got them. The caller holds the lock.
func (w *Watcher) dropValues(rows []infra.VersionedRow) {
	if w.Useful == nil {
		return
	}
	for i := range rows {
		if row, known := w.rows[rows[i].RowKey]; known && !w.Useful(&row) {
			row.Value = nil
			w.rows[row.RowKey] = row
		}
	}
}

// changed passes changed rows to the handler. If that panics, the rows are passed
// one by one, so that only the one that causes it is lost.
func (w *Watcher) changed(rows []infra.VersionedRow) {
	if w.contained(rows, func() { w.Handler.Changed(rows) }) || len(rows) == 1 {
		return
	}
	for i := range rows {
		w.contained(rows[i:i+1], func() { w.Handler.Changed(rows[i : i+1]) })
	}
}

// contained calls the handler for rows and reports whether it did not panic.
func (w *Watcher) contained(rows []infra.VersionedRow, call func()) bool {
	id := "none"
	if len(rows) > 0 {
		id = rows[0].Key
	}
	var err error
	func() {
		defer contain.Error(w.Log, "rows from", id, &err)
		call()
	}()
	return err == nil
}

// mergeRows updates the copy with the given rows, except for those that are older
// than the known ones. The caller holds the lock.
func (w *Watcher) mergeRows(rows []infra.VersionedRow) {
	for i := range rows {
		row := &rows[i]
		switch current := w.rows[row.RowKey]; {
		case current.Version > row.Version:
		case row.Deleted:
			delete(w.rows, row.RowKey)
		default:
			w.rows[row.RowKey] = *row
		}
	}
}

// Copy returns the useful rows of the node's copy of the table, which it gives to a
// starting peer, ordered by partition and key.
func (w *Watcher) Copy() []infra.VersionedRow {
	w.mu.Lock()
	out := slices.Collect(maps.Values(w.rows))
	if w.Useful != nil {
		out = slices.DeleteFunc(out, func(row infra.VersionedRow) bool { return !w.Useful(&row) })
	}
	w.mu.Unlock()
	slices.SortFunc(out, func(a, b infra.VersionedRow) int {
		return cmp.Or(cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Preload fills the copy with a peer's copy of the table, unless the peer's copy
// is empty or the table itself has been read. It reports whether the peer's copy
// was used.
func (w *Watcher) Preload(rows []infra.VersionedRow) bool {
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
	w.mergeRows(rows)
	w.changed(rows)
	w.dropValues(rows)
	return true
}

// CatchUp passes the changes to the handler that the store knows of now, without waiting
// for the change feed. The feed brings them once more, which the handler must ignore. It
// waits for the first read of the table: before that it is not known where changes begin.
func (w *Watcher) CatchUp(ctx context.Context) error {
	select {
	case <-w.loaded:
	case <-ctx.Done():
		return infra.ErrUnavailable
	}
	set, err := w.Store.Follow(ctx, w.Table, w.version.Load(), 0)
	if err == nil && len(set.Rows) > 0 {
		w.apply(set.Rows)
	}
	return err
}

// Adopt merges the rows of a peer's copy that are newer than the known ones, and passes
// them to the handler. It reports whether there were any. The change feed, or a read of
// the table, brings them and older ones later, which the handler must tell from newer ones.
func (w *Watcher) Adopt(rows []infra.VersionedRow) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows = slices.DeleteFunc(rows, func(row infra.VersionedRow) bool {
		return row.Table != w.Table || !slices.Contains(w.Partitions, row.Partition) || row.Version <= w.rows[row.RowKey].Version
	})
	if len(rows) == 0 {
		return false
	}
	w.mergeRows(rows)
	w.changed(rows)
	w.dropValues(rows)
	return true
}

// load reads all partitions. Changes are then followed from the lowest version of
// these reads. A read that is older than the known state is ignored, so that the
// copy never goes back in time.
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
	if oldest < w.version.Load() {
		w.Log.Warn("ignoring a read of the table that is older than the known version", "version", oldest, "known", w.version.Load())
		return infra.ErrUnavailable
	}
	w.version.Store(oldest)
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.rows)
	w.mergeRows(rows)
	if !w.contained(rows, func() { w.Handler.Snapshot(rows) }) {
		// Without the whole set the handler cannot know which rows are gone. It
		// learns at least of those that are there.
		w.changed(rows)
	}
	w.dropValues(rows)
	select {
	case <-w.loaded:
	default:
		close(w.loaded)
	}
	return nil
}

func (w *Watcher) markReachable() {
	now := time.Now()
	if w.failing.CompareAndSwap(true, false) {
		w.restored.Set(now)
		age, _ := w.ContactAge(now)
		w.Log.Info("store is reachable again", "version", w.version.Load(), "without_contact_ms", age.Milliseconds())
	}
	w.contact.Set(now)
}

func (w *Watcher) markFailing(err error) {
	if w.failing.CompareAndSwap(false, true) {
		age, _ := w.ContactAge(time.Now())
		w.Log.Warn("store cannot be reached", "error", err, "version", w.version.Load(), "without_contact_ms", age.Milliseconds())
	}
}

// jitter returns a random delay between d/2 and d, so that the nodes do not all
// call the store again at the same time.
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
