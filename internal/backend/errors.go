package backend

import "github.com/pkg/errors"

// Errors of requests to backend servers. Test for them with errors.Is.
var (
	// ErrUnreachable means that no byte of the request was sent.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrRefused means that the backend server responded that it did not run
	// the request.
	ErrRefused = errors.New("backend server refused the request")
	// ErrInterrupted means that the connection broke or timed out after at least
	// part of the request was sent. The request may have run.
	ErrInterrupted = errors.New("connection to the backend server was interrupted")
	// ErrFailed means that the backend server responded that the request failed.
	// The request may have run, and the server itself is alive. An error that
	// matches ErrFailed also matches ErrInterrupted, so test for ErrFailed first.
	ErrFailed = errors.New("backend server failed to process the request")
	// ErrInvalid means that the request was rejected as malformed or impossible.
	// Another backend server would reject it too.
	ErrInvalid = errors.New("request rejected as invalid")
	// ErrFenced means that an engine rejected an order because it had already
	// accepted one with a higher fencing number.
	ErrFenced = errors.New("order rejected: old fencing number")
)
