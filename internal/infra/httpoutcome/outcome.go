package httpoutcome

import (
	"fmt"
	"net/http"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
)

// ReadError returns the error of a read call: nil, ErrNotFound, ErrUnavailable, or an
// error that matches none of these if the service rejected the request as invalid.
func ReadError(reply httpsend.Response, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	d := errorDetail(reply.Body)
	switch {
	case reply.Status == http.StatusOK:
		return nil
	// A 404 without the error code does not come from the service but, for
	// example, from the server at a wrong base URL. It must not be mistaken for
	// an absent row.
	case reply.Status == http.StatusNotFound && d.Code == CodeNotFound:
		return infra.ErrNotFound
	case isInvalidRequest(reply.Status):
		return fmt.Errorf("request rejected with HTTP status %d: %s", reply.Status, d.Message)
	default:
		return fmt.Errorf("%w: HTTP status %d", infra.ErrUnavailable, reply.Status)
	}
}

// WriteError returns the error of a write call: nil, ErrConflict, ErrUnavailable,
// ErrOutcomeUnknown, or an error that matches none of these if the service rejected
// the request as invalid, in which case nothing was written.
func WriteError(reply httpsend.Response, err error) error {
	if err != nil {
		return transportWriteError(err)
	}
	d := errorDetail(reply.Body)
	switch {
	case reply.Status == http.StatusOK, reply.Status == http.StatusNoContent:
		return nil
	case reply.Status == http.StatusConflict && d.Code == CodeConflict:
		return infra.ErrConflict
	case reply.Status == http.StatusServiceUnavailable, reply.Status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: HTTP status %d", infra.ErrUnavailable, reply.Status)
	case isInvalidRequest(reply.Status):
		return fmt.Errorf("request rejected with HTTP status %d: %s", reply.Status, d.Message)
	default:
		return fmt.Errorf("%w: HTTP status %d", infra.ErrOutcomeUnknown, reply.Status)
	}
}

// transportWriteError returns the error of a write call without a response. The
// outcome is known only if no byte of the request was sent.
func transportWriteError(err error) error {
	if httpsend.MaybeSent(err) {
		return fmt.Errorf("%w: %w", infra.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
}

// isInvalidRequest reports whether the status means that the service rejected the
// request as invalid, so that nothing was written.
func isInvalidRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}
