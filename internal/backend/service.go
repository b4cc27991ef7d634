package backend

import (
	"context"
	"net/http"
)

// Call is one request to a plain service.
type Call struct {
	Method string
	// Path is the path and query of the URL.
	Path   string
	Header http.Header
	Body   []byte
}

// CallResponse is the response of a plain service to a Call.
type CallResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one replica of a plain service.
type Service interface {
	// Do sends the call once. Errors: ErrUnreachable (no byte was sent),
	// ErrInterrupted (may have run).
	Do(ctx context.Context, call Call) (CallResponse, error)
}
