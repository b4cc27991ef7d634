package infra

import "github.com/pkg/errors"

// Outcomes of platform calls. Test for them with errors.Is.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a transaction did not hold.
	// Nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the service is away or refused the call.
	// Nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown means that the answer was lost: the write may or may not have
	// taken effect, now or later. Only reading back tells.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrCompacted means that a change feed no longer reaches back to the
	// version asked for. The table has to be read again.
	ErrCompacted = errors.New("history no longer available")
)
