package infratest

import (
	"context"
	"sort"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// Rows is an in-memory infra.PartitionedTable. Besides the faults of a FaultPlan
// it can hold writes back, so that they take effect later, and can compact its
// change history.
type Rows struct {
	Faults

	mu      sync.Mutex
	rows    map[infra.RowKey]infra.VersionedRow
	history []infra.VersionedRow // all changes after version compacted
	version uint64
	// compacted is the newest version whose change is no longer in history.
	compacted uint64
	holding   bool
	held      []infra.RowTxn
	changed   chan struct{} // closed and replaced at each change
	startedAt time.Time
	commits   int
}

var _ infra.PartitionedTable = (*Rows)(nil)

// NewRows returns an empty table.
func NewRows() *Rows {
	return &Rows{rows: make(map[infra.RowKey]infra.VersionedRow), changed: make(chan struct{}), startedAt: time.Now()}
}

// HoldWrites makes CommitRows hold every transaction back and return
// ErrOutcomeUnknown, until ReleaseWrites is called.
func (t *Rows) HoldWrites() {
	t.mu.Lock()
	t.holding = true
	t.mu.Unlock()
}

// ReleaseWrites ends the effect of HoldWrites. It applies the held transactions whose
// conditions are met now and returns how many it applied.
func (t *Rows) ReleaseWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	applied := 0
	for _, txn := range t.held {
		if t.conflict(&txn) == nil {
			t.apply(&txn)
			applied++
		}
	}
	t.holding, t.held = false, nil
	return applied
}

// HeldWrites returns the number of transactions that are held back.
func (t *Rows) HeldWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// Apply commits a transaction without fault injection, even while writes are held
// back.
func (t *Rows) Apply(txn infra.RowTxn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflict := t.conflict(&txn); conflict != nil {
		return conflict
	}
	t.apply(&txn)
	return nil
}

// Compact discards the change history up to the current version.
func (t *Rows) Compact() {
	t.mu.Lock()
	t.compacted, t.history = t.version, nil
	t.notifyFollowers()
	t.mu.Unlock()
}

// Commits returns the number of transactions that were applied.
func (t *Rows) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Clock returns the table's monotonic clock, and true since it is always known.
func (t *Rows) Clock() (time.Duration, bool) { return time.Since(t.startedAt) + time.Hour, true }

// Range implements infra.PartitionedTable.
func (t *Rows) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	if err := t.beforeCall(ctx, false); err != nil {
		return infra.RowSet{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []infra.VersionedRow
	for key, row := range t.rows {
		if key.Table == r.Table && key.Partition == r.Partition && key.Key >= r.From && (r.To == "" || key.Key < r.To) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return t.rowSet(out), nil
}

// Partitions implements infra.PartitionedTable.
func (t *Rows) Partitions(ctx context.Context, table string) ([]string, error) {
	if err := t.beforeCall(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for key := range t.rows {
		if key.Table == table && !seen[key.Partition] {
			seen[key.Partition] = true
			out = append(out, key.Partition)
		}
	}
	sort.Strings(out)
	return out, nil
}

// Follow implements infra.PartitionedTable.
func (t *Rows) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := t.beforeCall(ctx, false); err != nil {
			return infra.RowSet{}, err
		}
		t.mu.Lock()
		if after < t.compacted {
			t.mu.Unlock()
			return infra.RowSet{}, infra.ErrCompacted
		}
		var out []infra.VersionedRow
		for _, row := range t.history {
			if row.Table == table && row.Version > after {
				out = append(out, row)
			}
		}
		rowSet, changed := t.rowSet(out), t.changed
		t.mu.Unlock()
		if len(out) > 0 {
			return rowSet, nil
		}
		select {
		case <-ctx.Done():
			return infra.RowSet{}, infra.ErrUnavailable
		case <-timer.C:
			return rowSet, nil
		case <-changed:
		}
	}
}

// CommitRows implements infra.PartitionedTable.
func (t *Rows) CommitRows(ctx context.Context, txn infra.RowTxn) (uint64, error) {
	if err := t.beforeCall(ctx, true); err != nil {
		return 0, err
	}
	t.mu.Lock()
	if t.holding {
		t.held = append(t.held, txn)
		t.mu.Unlock()
		return 0, infra.ErrOutcomeUnknown
	}
	if conflict := t.conflict(&txn); conflict != nil {
		t.mu.Unlock()
		return 0, conflict
	}
	version := t.apply(&txn)
	t.mu.Unlock()
	if err := t.afterWrite(); err != nil {
		return 0, err
	}
	return version, nil
}

// conflict returns an *infra.RowConflict if a condition is not met. The caller
// holds the lock.
func (t *Rows) conflict(txn *infra.RowTxn) error {
	failed := false
	var present []infra.VersionedRow
	for _, c := range txn.Conditions {
		row, ok := t.rows[c.RowKey]
		if ok {
			present = append(present, row)
		}
		failed = failed || row.Version != c.Version
	}
	if !failed {
		return nil
	}
	return &infra.RowConflict{Rows: present}
}

// apply writes the rows and returns their version. The caller holds the lock.
func (t *Rows) apply(txn *infra.RowTxn) uint64 {
	t.version++
	t.commits++
	for _, w := range txn.Writes {
		row := infra.VersionedRow{RowKey: w.RowKey, Value: append([]byte(nil), w.Value...), Version: t.version, Deleted: w.Delete}
		if w.Delete {
			delete(t.rows, w.RowKey)
		} else {
			t.rows[w.RowKey] = row
		}
		t.history = append(t.history, row)
	}
	t.notifyFollowers()
	return t.version
}

// notifyFollowers wakes all calls of Follow. The caller holds the lock.
func (t *Rows) notifyFollowers() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// rowSet adds the current version and clock to rows. The caller holds the lock.
func (t *Rows) rowSet(rows []infra.VersionedRow) infra.RowSet {
	clock, _ := t.Clock()
	return infra.RowSet{Rows: rows, Version: t.version, Clock: clock}
}
