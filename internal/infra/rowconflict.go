package infra

import "fmt"

// RowConflict is an ErrConflict with the rows named by the conditions, as they
// were when the transaction was rejected. An absent row is left out or marked
// Deleted.
type RowConflict struct{ Rows []VersionedRow }

// Error implements error.
func (c *RowConflict) Error() string {
	return fmt.Sprintf("%v: the service returned the current state of %d rows", ErrConflict, len(c.Rows))
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (c *RowConflict) Unwrap() error { return ErrConflict }

// Find returns the current state of a row named by the conditions, or false if the
// row was absent.
func (c *RowConflict) Find(key RowKey) (VersionedRow, bool) {
	for _, row := range c.Rows {
		if row.RowKey == key && !row.Deleted {
			return row, true
		}
	}
	return VersionedRow{}, false
}
