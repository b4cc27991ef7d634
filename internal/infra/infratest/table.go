package infratest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/infra"
)

// Table is an in-memory infra.Table with fault injection.
type Table struct {
	Faults

	mu      sync.Mutex
	rows    map[string]infra.Row
	keys    []string // sorted
	version uint64

	reads       atomic.Int64
	commits     atomic.Int64
	rowsWritten atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]infra.Row)}
}

// Reads returns the number of Get and Scan calls that were not refused.
func (t *Table) Reads() int64 { return t.reads.Load() }

// Commits returns the number of transactions applied.
func (t *Table) Commits() int64 { return t.commits.Load() }

// RowsWritten returns the number of rows written or deleted by transactions.
func (t *Table) RowsWritten() int64 { return t.rowsWritten.Load() }

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := t.beforeCall(ctx, false); err != nil {
		return infra.Row{}, err
	}
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return infra.Row{}, infra.ErrNotFound
	}
	return row, nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := t.beforeCall(ctx, false); err != nil {
		return nil, err
	}
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []infra.Row
	for i := sort.SearchStrings(t.keys, max(prefix, after)); i < len(t.keys) && len(out) < limit; i++ {
		key := t.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			out = append(out, t.rows[key])
		}
	}
	return out, nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if err := t.beforeCall(ctx, true); err != nil {
		return nil, err
	}
	versions, err := t.apply(txn)
	if err != nil {
		return nil, err
	}
	t.commits.Add(1)
	t.rowsWritten.Add(int64(len(txn.Writes)))
	if err := t.afterWrite(); err != nil {
		return nil, err
	}
	return versions, nil
}

// apply applies a transaction atomically, without fault injection.
func (t *Table) apply(txn infra.Txn) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return nil, infra.ErrConflict
		}
	}
	t.version++
	versions := make([]uint64, len(txn.Writes))
	for i, w := range txn.Writes {
		if w.Delete {
			t.remove(w.Key)
			continue
		}
		versions[i] = t.version
		t.put(infra.Row{Key: w.Key, Version: t.version, Value: append([]byte(nil), w.Value...)})
	}
	return versions, nil
}

// put inserts or replaces a row. The caller holds the lock.
func (t *Table) put(row infra.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		i := sort.SearchStrings(t.keys, row.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = row.Key
	}
	t.rows[row.Key] = row
}

// remove deletes a row. The caller holds the lock.
func (t *Table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	delete(t.rows, key)
	i := sort.SearchStrings(t.keys, key)
	t.keys = append(t.keys[:i], t.keys[i+1:]...)
}
