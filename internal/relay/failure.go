package relay

import (
	"context"
	"errors"

	"gentiantide.example/gentiantide/internal/backend"
)

// failure is the reason why an attempt did not complete the work.
type failure uint8

const (
	failureNone        failure = iota
	failureNotSent             // no byte was sent
	failureRefused             // the backend server refused without running
	failureInvalid             // the backend server rejected the request
	failureInterrupted         // the connection broke after sending
	failureFailed              // a live backend server answered that the request failed
	failureBroken              // a token was missing, or the end came early
	failureStalled             // nothing came for too long
	failurePreempted           // the owner wants the slot back
	failureDeadline            // the work's deadline passed
	failureCallerGone          // the caller or the node gave the work up
	failureTooLarge            // the answer exceeds maxAnswerBytes
)

// Causes with which an attempt's context is cancelled.
var (
	errPreempted = errors.New("slot preempted")
	errStalled   = errors.New("backend server stalled")
	errLost      = errors.New("another attempt was faster")
)

// String returns the name used in metrics and messages.
func (f failure) String() string {
	return [...]string{
		"none", "not_sent", "refused", "invalid", "interrupted", "failed", "broken",
		"stalled", "preempted", "deadline", "caller_gone", "too_large",
	}[f]
}

// backendFault reports whether the failure is held against the replica.
func (f failure) backendFault() bool {
	switch f {
	case failureNotSent, failureRefused, failureInterrupted, failureBroken, failureStalled, failureTooLarge:
		return true
	default:
		return false
	}
}

// classify names the failure behind an error of a backend server. The work
// context's error and the attempt's cancellation cause come first, since a
// cancelled attempt fails with whatever its connection reports.
func classify(err, cause, workErr error) failure {
	switch {
	case errors.Is(workErr, context.DeadlineExceeded):
		return failureDeadline
	case workErr != nil:
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
		return failureFailed
	default:
		return failureInterrupted
	}
}

// certainlyNotRun reports whether an error of opening a stream or of a plain
// call rules out that the backend server runs the work.
func certainlyNotRun(err error) bool {
	return errors.Is(err, backend.ErrUnreachable) || errors.Is(err, backend.ErrRefused) ||
		errors.Is(err, backend.ErrInvalid)
}
