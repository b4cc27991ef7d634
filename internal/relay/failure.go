package relay

import (
	"context"
	"errors"

	"gentiantide.example/gentiantide/internal/backend"
)

// failure is the reason why an attempt did not complete the request.
type failure uint8

const (
	failureNone          failure = iota
	failureNotSent               // no byte of the request was sent
	failureRefused               // the backend server responded that it did not run the request
	failureInvalid               // the backend server rejected the request
	failureInterrupted           // the connection broke after the request was sent, at least in part
	failureRequestFailed         // a live backend server responded that the request failed
	failureIncomplete            // a token is missing, or the stream ended early
	failureStalled               // no token arrived for too long
	failurePreempted             // the owner preempted the slot
	failureDeadline              // the deadline of the request passed
	failureCallerGone            // the caller or the node cancelled the request
	failureTooLarge              // the response exceeds maxResponseBytes
)

// Cancellation causes of the context of an attempt.
var (
	errPreempted       = errors.New("slot preempted")
	errStalled         = errors.New("backend server stalled")
	errOtherAttemptWon = errors.New("another attempt responded first")
)

// String returns the name used in metrics and messages.
func (f failure) String() string {
	return [...]string{
		"none", "not_sent", "refused", "invalid", "interrupted", "failed", "broken",
		"stalled", "preempted", "deadline", "caller_gone", "too_large",
	}[f]
}

// isBackendFault reports whether the failure counts as a failure of the replica.
func (f failure) isBackendFault() bool {
	switch f {
	case failureNotSent, failureRefused, failureInterrupted, failureIncomplete, failureStalled, failureTooLarge:
		return true
	default:
		return false
	}
}

// classify returns the failure for err, the error of an attempt. Cause is the
// cancellation cause of the attempt, requestErr the error of the request's
// context. Both take precedence over err, because a cancelled attempt fails with
// an arbitrary connection error.
func classify(err, cause, requestErr error) failure {
	switch {
	case errors.Is(requestErr, context.DeadlineExceeded):
		return failureDeadline
	case requestErr != nil:
		return failureCallerGone
	case errors.Is(cause, errPreempted):
		return failurePreempted
	case errors.Is(cause, errStalled):
		return failureStalled
	case errors.Is(err, backend.ErrUnreachable):
		return failureNotSent
	case errors.Is(err, backend.ErrRefused):
		return failureRefused
	case errors.Is(err, backend.ErrInvalid):
		return failureInvalid
	case errors.Is(err, backend.ErrFailed):
		return failureRequestFailed
	default:
		return failureInterrupted
	}
}

// certainlyNotRun reports whether an error of opening a stream or of a plain call
// rules out that the backend server has run or will run the request.
func certainlyNotRun(err error) bool {
	return errors.Is(err, backend.ErrUnreachable) || errors.Is(err, backend.ErrRefused) ||
		errors.Is(err, backend.ErrInvalid)
}
