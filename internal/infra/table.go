package infra

import "context"

// Row is one row of the table service.
type Row struct {
	Key string
	// Version is at least 1 for an existing row and increases with each write
	// to the row. A row that is deleted and written again gets a version that
	// was never used for its key.
	Version uint64
	Value   []byte
}

// Condition requires that a row has exactly this version when the transaction
// commits. Version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: all writes are applied atomically if all conditions are
// met.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service.
type Table interface {
	// Get reads a row. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows whose keys begin with prefix and are greater
	// than after, in key order. Errors: ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new version of each written
	// row, in the order of the writes (0 for a delete).
	// Errors: ErrConflict, ErrUnavailable, ErrOutcomeUnknown.
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
}
