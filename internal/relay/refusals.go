package relay

import (
	"context"
	"errors"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// retryAdvice is what a caller is told to wait when no backend server took
// its request; the directory notices a dead replica in a few seconds.
const retryAdvice = time.Second

// withoutSlot turns the refusal of a slot into the outcome of the work, some
// of which may have run before.
func (u *run) withoutSlot(ctx context.Context, refusal *core.Refusal) *core.Refusal {
	out := *refusal
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Code, out.Message = core.CodeDeadlineExceeded, "the deadline passed while waiting for a backend server"
	case ctx.Err() != nil:
		out.Code, out.Message = core.CodeCancelled, "cancelled while waiting for a backend server"
	case u.work.delivered() > 0:
		out.Code, out.Message = core.CodeStreamInterrupted, "the stream broke and could not be resumed: "+refusal.Message
	}
	out.Execution = u.execution()
	return &out
}

// failed turns the failure of the last attempt into the outcome of the work.
func (u *run) failed(f failure, err error) *core.Refusal {
	out := &core.Refusal{Execution: u.execution()}
	switch {
	case f == failureDeadline:
		out.Code, out.Message = core.CodeDeadlineExceeded, "the deadline passed"
	case f == failureCallerGone:
		out.Code, out.Message = core.CodeCancelled, "cancelled by the caller"
	case u.work.delivered() > 0:
		out.Code, out.Message = core.CodeStreamInterrupted, "the stream broke and could not be resumed: "+err.Error()
	case f == failureInvalid:
		out.Code, out.Message = core.CodeInvalidRequest, err.Error()
	case f == failureNotSent || f == failureRefused:
		out.Code, out.Message, out.RetryAfter = core.CodeNoBackend, err.Error(), retryAdvice
	case f == failureFailed:
		out.Code, out.Message = core.CodeRequestFailed, err.Error()
	default:
		out.Code, out.Message = core.CodeBackendFailed, err.Error()
	}
	return out
}
