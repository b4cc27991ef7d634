package backend

import "github.com/pkg/errors"

// Outcomes of calls to backend servers. Test for them with errors.Is.
var (
	// ErrUnreachable means that no byte of the request was sent.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrRefused means that the backend server answered that it did not run
	// the request.
	ErrRefused = errors.New("backend server refused the request")
	// ErrInterrupted means that the connection broke or timed out after the
	// request was sent, at least in part: it may have run.
	ErrInterrupted = errors.New("connection to the backend server broke")
	// ErrFailed means that the backend server answered that the request failed:
	// it may have run, and the server itself is alive. An error that matches
	// ErrFailed also matches ErrInterrupted, so test for ErrFailed first.
	ErrFailed = errors.New("backend server failed on the request")
	// ErrInvalid means that the backend server rejected the request as
	// malformed or impossible; sending it elsewhere gives the same answer.
	ErrInvalid = errors.New("request rejected as invalid")
	// ErrFenced means that an engine refused an order with an old fencing
	// number.
	ErrFenced = errors.New("order has an old fencing number")
)
