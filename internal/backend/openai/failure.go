package openai

import (
	"fmt"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/httpsend"
)

// sendFailure is the outcome of a request that got no complete answer.
func sendFailure(err error) error {
	if httpsend.MaybeSent(err) {
		return fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
	}
	return fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
}

func statusFailure(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return statusError(resp.StatusCode, resp.Header, body)
}

// statusError is the outcome of a request that was answered with an error.
func statusError(status int, header http.Header, body []byte) error {
	text := string(body[:min(len(body), maxErrorBody)])
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
