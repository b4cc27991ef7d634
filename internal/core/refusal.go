package core

import (
	"net/http"
	"time"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of refusals. Callers rely on them and docs/OPERATIONS.md describes
// them, so they must not change.
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
	// CodeRequestFailed means that a healthy backend server reported a failure of
	// this request; other requests may succeed.
	CodeRequestFailed     Code = "request_failed"
	CodeStreamInterrupted Code = "stream_interrupted"
	CodeStoreUnavailable  Code = "store_unavailable"
	CodeStopping          Code = "stopping"
	CodeCancelled         Code = "cancelled"
	CodeInternal          Code = "internal"
)

// Refusal is the error that a caller receives for work that was refused or that
// failed. Code, Message and Execution are reported to the caller.
type Refusal struct {
	Code       Code
	Message    string
	Execution  Execution
	RetryAfter time.Duration // suggested delay before a retry; 0 means none
}

// Error returns the code and the message, separated by a colon.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// HTTPStatus returns the HTTP status code of the response to the caller.
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

// Refuse returns a refusal of work that certainly did not run.
func Refuse(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Execution: NotRun}
}

// Fail returns a refusal of work that may have run.
func Fail(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Execution: ExecutionUnknown}
}
