package infra

import "fmt"

// RowConflict is an ErrConflict with the rows named by the conditions as they
// were when the transaction was refused.
type RowConflict struct{ Rows []VersionedRow }

// Error implements error.
func (c *RowConflict) Error() string {
	return fmt.Sprintf("%v: %d rows differ", ErrConflict, len(c.Rows))
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (c *RowConflict) Unwrap() error { return ErrConflict }

// Find returns the present state of a row of the conditions.
func (c *RowConflict) Find(key RowKey) (VersionedRow, bool) {
	for _, row := range c.Rows {
		if row.RowKey == key && !row.Deleted {
			return row, true
		}
	}
	return VersionedRow{}, false
}
