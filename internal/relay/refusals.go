package relay

import (
	"context"
	"errors"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// noBackendRetryAfter is the RetryAfter of a refusal because no backend server
// accepted the request. The directory detects a dead replica in a few seconds.
const noBackendRetryAfter = time.Second

// slotRefusal returns the refusal of a request that got no slot. Earlier attempts
// of the request may have run.
func (e *executor) slotRefusal(ctx context.Context, refusal *core.Refusal) *core.Refusal {
	out := *refusal
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Code, out.Message = core.CodeDeadlineExceeded, "the deadline passed while waiting for a backend server"
	case ctx.Err() != nil:
		out.Code, out.Message = core.CodeCancelled, "cancelled while waiting for a backend server"
	case e.request.delivered() > 0:
		out.Code, out.Message = core.CodeStreamInterrupted, "the stream was interrupted and could not be resumed: "+refusal.Message
	}
	out.Execution = e.execution()
	return &out
}

// failureRefusal returns the refusal of a request whose last attempt failed.
func (e *executor) failureRefusal(f failure, err error) *core.Refusal {
	out := &core.Refusal{Execution: e.execution()}
	switch {
	case f == failureDeadline:
		out.Code, out.Message = core.CodeDeadlineExceeded, "the deadline passed"
	case f == failureCallerGone:
		out.Code, out.Message = core.CodeCancelled, "cancelled by the caller"
	case e.request.delivered() > 0:
		out.Code, out.Message = core.CodeStreamInterrupted, "the stream was interrupted and could not be resumed: "+err.Error()
	case f == failureInvalid:
		out.Code, out.Message = core.CodeInvalidRequest, err.Error()
	case f == failureNotSent || f == failureRefused:
		out.Code, out.Message, out.RetryAfter = core.CodeNoBackend, err.Error(), noBackendRetryAfter
	case f == failureRequestFailed:
		out.Code, out.Message = core.CodeRequestFailed, err.Error()
	default:
		out.Code, out.Message = core.CodeBackendFailed, err.Error()
	}
	return out
}
