package infra

import (
	"context"
	"time"
)

// RowKey identifies a row of a partitioned table.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row with the version of its last write.
type VersionedRow struct {
	RowKey
	Value []byte
	// Version is greater than the version of every earlier write to the store.
	Version uint64
	// Deleted marks a removed row in a change feed.
	Deleted bool
}

// RowCondition requires that a row has exactly this version when the
// transaction commits. Version 0 requires that the row is absent.
type RowCondition struct {
	RowKey
	Version uint64
}

// RowWrite sets a row, or deletes it.
type RowWrite struct {
	RowKey
	Value  []byte
	Delete bool
}

// RowTxn is a transaction: all writes are applied atomically if all conditions
// are met. All keys belong to one partition but may be in different tables.
type RowTxn struct {
	Conditions []RowCondition
	Writes     []RowWrite
}

// RowRange selects the rows of one partition with keys from From (inclusive) to
// To (exclusive). An empty From or To leaves that end unbounded.
type RowRange struct {
	Table     string
	Partition string
	From      string
	To        string
}

// RowSet is the result of a read: rows, and the store's version and clock when the
// read began.
type RowSet struct {
	Rows []VersionedRow
	// Version is the store's newest version when the read began. Following the
	// changes after it misses none.
	Version uint64
	// Clock is the store's monotonic clock when the read began.
	Clock time.Duration
}

// PartitionedTable is a transactional table service that groups rows into
// partitions and offers a change feed.
type PartitionedTable interface {
	// Range reads all rows of a range in key order. It may take several calls
	// to the service, and rows of later calls may be newer.
	// Errors: ErrUnavailable.
	Range(ctx context.Context, r RowRange) (RowSet, error)
	// Partitions lists the partitions of a table. Errors: ErrUnavailable.
	Partitions(ctx context.Context, table string) ([]string, error)
	// CommitRows applies a transaction and returns the new version of the
	// written rows. Errors: *RowConflict (which is an ErrConflict),
	// ErrUnavailable, ErrOutcomeUnknown.
	CommitRows(ctx context.Context, txn RowTxn) (uint64, error)
	// Follow is a long poll of the change feed. It returns, in order, the rows of
	// the table that changed after the given version. If there are none, it
	// waits for a change for at most the given time.
	// Errors: ErrCompacted, ErrUnavailable.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (RowSet, error)
}
