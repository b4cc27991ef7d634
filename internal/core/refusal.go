package core

import (
	"net/http"
	"time"
)

// Code is the stable, machine-readable reason of a refusal.
type Code string

// The codes of refusals. Callers and OPERATIONS.md rely on them.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "not_found"
	CodeModelNotFound    Code = "model_not_found"
	CodeConflict         Code = "conflict"
	CodeKeyReused        Code = "key_reused"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeOverloaded       Code = "overloaded"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeNoBackend        Code = "no_backend"
	CodeBackendFailed    Code = "backend_failed"
	// CodeRequestFailed means that a live backend server answered that this
	// request failed; other requests may succeed.
	CodeRequestFailed     Code = "request_failed"
	CodeStreamInterrupted Code = "stream_interrupted"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeStopping          Code = "stopping"
	CodeCancelled         Code = "cancelled"
	CodeInternal          Code = "internal"
)

// Refusal is the outcome of work that was refused or that failed. It is a
// value that travels to the caller; it is also an error.
type Refusal struct {
	Code       Code
	Message    string
	Execution  Execution
	RetryAfter time.Duration // zero: no advice
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// HTTPStatus returns the status code that callers see for the refusal.
func (r *Refusal) HTTPStatus() int {
	switch r.Code {
	case CodeInvalidRequest:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeNotFound, CodeModelNotFound:
		return http.StatusNotFound
	case CodeConflict, CodeKeyReused, CodeOutcomeUnknown, CodeCancelled:
		return http.StatusConflict
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case CodeBackendFailed, CodeRequestFailed, CodeStreamInterrupted:
		return http.StatusBadGateway
	case CodeNoBackend, CodeStoreUnavailable, CodeStopping:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// Refuse builds a refusal of work that certainly did not run.
func Refuse(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Execution: NotRun}
}

// Fail builds a refusal of work that may have run.
func Fail(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Execution: ExecutionUnknown}
}
