package infratest

import (
	"context"
	"sort"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
)

// Rows is an in-memory infra.PartitionedTable. Besides the commanded faults it
// can hold writes back, which then take effect late, and lose its history.
type Rows struct {
	Faults

	mu      sync.Mutex
	rows    map[infra.RowKey]infra.VersionedRow
	log     []infra.VersionedRow
	version uint64
	// compacted is the newest version that the history no longer covers.
	compacted uint64
	holding   bool
	held      []infra.RowTxn
	changed   chan struct{}
	started   time.Time
	commits   int
}

var _ infra.PartitionedTable = (*Rows)(nil)

// NewRows returns an empty table.
func NewRows() *Rows {
	return &Rows{rows: make(map[infra.RowKey]infra.VersionedRow), changed: make(chan struct{}), started: time.Now()}
}

// HoldWrites makes the table keep every write back, without an answer, until Release.
func (t *Rows) HoldWrites() {
	t.mu.Lock()
	t.holding = true
	t.mu.Unlock()
}

// ReleaseWrites applies the writes that were held back and whose conditions still
// hold, and returns how many were applied.
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

// HeldWrites returns the number of writes that are held back.
func (t *Rows) HeldWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// Apply commits a transaction without faults, also while writes are held back.
func (t *Rows) Apply(txn infra.RowTxn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflict := t.conflict(&txn); conflict != nil {
		return conflict
	}
	t.apply(&txn)
	return nil
}

// Compact discards the history.
func (t *Rows) Compact() {
	t.mu.Lock()
	t.compacted, t.log = t.version, nil
	t.notify()
	t.mu.Unlock()
}

// Commits returns the number of transactions that were applied.
func (t *Rows) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Clock returns the table's steady clock.
func (t *Rows) Clock() (time.Duration, bool) { return time.Since(t.started) + time.Hour, true }

// Range implements infra.PartitionedTable.
func (t *Rows) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	if err := t.before(ctx, false); err != nil {
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
	return t.set(out), nil
}

// Partitions implements infra.PartitionedTable.
func (t *Rows) Partitions(ctx context.Context, table string) ([]string, error) {
	if err := t.before(ctx, false); err != nil {
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
		if err := t.before(ctx, false); err != nil {
			return infra.RowSet{}, err
		}
		t.mu.Lock()
		if after < t.compacted {
			t.mu.Unlock()
			return infra.RowSet{}, infra.ErrCompacted
		}
		var out []infra.VersionedRow
		for _, row := range t.log {
			if row.Table == table && row.Version > after {
				out = append(out, row)
			}
		}
		set, changed := t.set(out), t.changed
		t.mu.Unlock()
		if len(out) > 0 {
			return set, nil
		}
		select {
		case <-ctx.Done():
			return infra.RowSet{}, infra.ErrUnavailable
		case <-timer.C:
			return set, nil
		case <-changed:
		}
	}
}

// CommitRows implements infra.PartitionedTable.
func (t *Rows) CommitRows(ctx context.Context, txn infra.RowTxn) (uint64, error) {
	if err := t.before(ctx, true); err != nil {
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
	if err := t.after(); err != nil {
		return 0, err
	}
	return version, nil
}

// conflict returns the rows of the conditions if one of them does not hold. The
// caller holds the lock.
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

// apply writes the rows. The caller holds the lock.
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
		t.log = append(t.log, row)
	}
	t.notify()
	return t.version
}

func (t *Rows) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// set wraps rows. The caller holds the lock.
func (t *Rows) set(rows []infra.VersionedRow) infra.RowSet {
	clock, _ := t.Clock()
	return infra.RowSet{Rows: rows, Version: t.version, Clock: clock}
}
