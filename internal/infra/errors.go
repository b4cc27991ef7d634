package infra

import "github.com/pkg/errors"

// Errors of platform calls, to be tested with errors.Is.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a transaction was not met.
	// Nothing was written.
	ErrConflict = errors.New("transaction condition failed")
	// ErrUnavailable means that the service could not be reached or refused
	// the call. Nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrOutcomeUnknown means that the response to a write was lost. The write may
	// have taken effect, may still take effect later, or may never do so; the
	// client has to read the data back to find out.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrCompacted means that the change history after the requested version
	// has been compacted. The client has to read the whole table again.
	ErrCompacted = errors.New("change history of the requested version is no longer available")
)
