package openai

import (
	"fmt"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/httpsend"
)

// sendError converts an error of httpsend to an error of package backend.
func sendError(err error) error {
	if httpsend.MaybeSent(err) {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
}

// responseError returns the error for resp, whose status is not 200.
func responseError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	return statusError(resp.StatusCode, resp.Header, body)
}

// statusError returns the error for a response whose status is not a success.
func statusError(status int, header http.Header, body []byte) error {
	text := string(body[:min(len(body), maxErrorBodyBytes)])
	switch {
	case header.Get(headerNotRun) == "true":
		return fmt.Errorf("%w: status %d: %s", backend.ErrRefused, status, text)
	case status == http.StatusBadRequest, status == http.StatusRequestEntityTooLarge, status == http.StatusUnprocessableEntity:
		return fmt.Errorf("%w: status %d: %s", backend.ErrInvalid, status, text)
	case status == http.StatusInternalServerError:
		return fmt.Errorf("%w: %w: %s", backend.ErrFailed, backend.ErrInterrupted, text)
	default:
		return fmt.Errorf("%w: status %d: %s", backend.ErrInterrupted, status, text)
	}
}
