package meter

import (
	"context"
	"maps"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// TableCounts counts calls to a table, by the first segment of the key.
type TableCounts struct {
	Reads, RowsRead, Commits, RowsWritten, Conflicts map[string]int
}

// Table counts the calls to an infra.Table.
type Table struct {
	infra.Table

	mu     sync.Mutex
	counts TableCounts
}

// NewTable returns a table that counts the calls to t.
func NewTable(t infra.Table) *Table {
	return &Table{Table: t, counts: TableCounts{make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]int), make(map[string]int)}}
}

// Counts returns a copy of the counts so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCounts{maps.Clone(t.counts.Reads), maps.Clone(t.counts.RowsRead), maps.Clone(t.counts.Commits), maps.Clone(t.counts.RowsWritten), maps.Clone(t.counts.Conflicts)}
}

func (t *Table) count(update func(*TableCounts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.counts)
}

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	t.count(func(c *TableCounts) { c.Reads[firstSegment(key)]++; c.RowsRead[firstSegment(key)]++ })
	return t.Table.Get(ctx, key)
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.count(func(c *TableCounts) { c.Reads[firstSegment(prefix)]++; c.RowsRead[firstSegment(prefix)] += len(rows) })
	return rows, err
}

// Commit implements infra.Table. A transaction counts as one commit, under the
// key of its first write.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	t.count(func(c *TableCounts) {
		c.Commits[firstSegment(txn.Writes[0].Key)]++
		for _, w := range txn.Writes {
			c.RowsWritten[firstSegment(w.Key)]++
		}
	})
	versions, err := t.Table.Commit(ctx, txn)
	if errors.Is(err, infra.ErrConflict) {
		t.count(func(c *TableCounts) { c.Conflicts[firstSegment(txn.Writes[0].Key)]++ })
	}
	return versions, err
}

// firstSegment returns the part of a key before its first slash.
func firstSegment(key string) string {
	segment, _, _ := strings.Cut(key, "/")
	return segment
}

// Sum adds up the values of a map of counts.
func Sum(m map[string]int) float64 {
	total := 0
	for _, n := range m {
		total += n
	}
	return float64(total)
}
