package backend

import (
	"context"
	"net/http"
)

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the path and query on the service.
	Path   string
	Header http.Header
	Body   []byte
}

// CallResponse is the answer of a plain service.
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
