package infra

import (
	"context"
	"time"
)

// RowKey names a row of a partitioned table.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// VersionedRow is a row with the version that its last write gave it.
type VersionedRow struct {
	RowKey
	Value []byte
	// Version is greater than that of every earlier write in the store.
	Version uint64
	// Deleted is set in a change feed for a row that was removed.
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

// RowTxn applies all writes at once if all conditions hold. All keys are of
// one partition, in any tables.
type RowTxn struct {
	Conditions []RowCondition
	Writes     []RowWrite
}

// RowRange is the keys from From up to but not including To of one partition.
// An empty bound is open.
type RowRange struct {
	Table     string
	Partition string
	From      string
	To        string
}

// RowSet is rows as of a single moment.
type RowSet struct {
	Rows []VersionedRow
	// Version is the store's newest version at that moment.
	Version uint64
	// Clock is the store's steady clock at that moment.
	Clock time.Duration
}

// PartitionedTable is a transactional table service whose rows lie in
// partitions and whose changes can be followed.
type PartitionedTable interface {
	// Range reads all rows of a range in key order, in as many calls as it
	// takes. Rows of later calls may be newer. Errors: ErrUnavailable.
	Range(ctx context.Context, r RowRange) (RowSet, error)
	// Partitions lists the partitions of a table. Errors: ErrUnavailable.
	Partitions(ctx context.Context, table string) ([]string, error)
	// CommitRows applies a transaction and returns the version that the
	// written rows now have. Errors: *RowConflict (ErrConflict),
	// ErrUnavailable, ErrUnknown.
	CommitRows(ctx context.Context, txn RowTxn) (uint64, error)
	// Follow waits at most for the given time until a row of the table is
	// newer than the version, and returns the changed rows in order.
	// Errors: ErrHistoryLost, ErrUnavailable.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (RowSet, error)
}
