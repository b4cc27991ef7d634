package httpoutcome

import (
	"fmt"
	"net/http"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
)

// ReadError returns the outcome of a read: nil, ErrNotFound, ErrUnavailable, or an
// untyped error if the service rejected the call as malformed.
func ReadError(reply httpsend.Response, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	d := detail(reply.Body)
	switch {
	case reply.Status == http.StatusOK:
		return nil
	// A 404 without the code comes from something other than the service, such
	// as a wrong base URL, and must not be taken for an absent row.
	case reply.Status == http.StatusNotFound && d.Code == CodeNotFound:
		return infra.ErrNotFound
	case rejected(reply.Status):
		return fmt.Errorf("rejected with status %d: %s", reply.Status, d.Message)
	default:
		return fmt.Errorf("%w: status %d", infra.ErrUnavailable, reply.Status)
	}
}

// WriteError returns the outcome of a write: nil, ErrConflict, ErrUnavailable,
// ErrUnknown, or an untyped error if the service rejected the call as
// malformed, in which case nothing was written.
func WriteError(reply httpsend.Response, err error) error {
	if err != nil {
		return writeFailure(err)
	}
	d := detail(reply.Body)
	switch {
	case reply.Status == http.StatusOK, reply.Status == http.StatusNoContent:
		return nil
	case reply.Status == http.StatusConflict && d.Code == CodeConflict:
		return infra.ErrConflict
	case reply.Status == http.StatusServiceUnavailable, reply.Status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", infra.ErrUnavailable, reply.Status)
	case rejected(reply.Status):
		return fmt.Errorf("rejected with status %d: %s", reply.Status, d.Message)
	default:
		return fmt.Errorf("%w: status %d", infra.ErrOutcomeUnknown, reply.Status)
	}
}

func writeFailure(err error) error {
	if httpsend.MaybeSent(err) {
		return fmt.Errorf("%w: %w", infra.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
}

func rejected(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}
