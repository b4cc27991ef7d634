package plain

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/backend/loadreport"
	"gentiantide.example/gentiantide/internal/httpsend"
)

const (
	// HeaderNotRun marks an answer to a call that the service did not run.
	HeaderNotRun = "X-Not-Run"
	// MaxAnswer is the largest answer in bytes; a larger one is ErrInterrupted.
	MaxAnswer = 16 << 20
	// loadTimeout bounds a load report.
	loadTimeout = 2 * time.Second
	maxLoad     = 1 << 20
)

// Service is a backend.Service behind HTTP.
type Service struct {
	client *httpsend.Client
	base   string
}

var _ backend.Service = (*Service)(nil)

// New returns the service at baseURL. Services of one process share a client.
func New(client *httpsend.Client, baseURL string) *Service {
	return &Service{client: client, base: strings.TrimRight(baseURL, "/")}
}

// NotRun reports whether the service says that it did not run the call.
func NotRun(answer backend.CallResponse) bool { return answer.Header.Get(HeaderNotRun) == "true" }

// Do implements backend.Service. Every complete answer is returned, whatever
// its status; ctx bounds the call. A path that does not begin with a slash is
// ErrInvalid: appended to the address it could name another host.
func (s *Service) Do(ctx context.Context, call backend.Call) (backend.CallResponse, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return backend.CallResponse{}, fmt.Errorf("%w: path %q does not begin with a slash", backend.ErrInvalid, call.Path)
	}
	reply, err := s.client.Fetch(ctx, httpsend.Request{
		Method: call.Method,
		URL:    s.base + call.Path,
		Header: endToEnd(call.Header),
		Body:   call.Body,
	}, MaxAnswer)
	if err != nil {
		if httpsend.MaybeSent(err) {
			return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
		}
		return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	return backend.CallResponse{Status: reply.Status, Header: endToEnd(reply.Header), Body: reply.Body}, nil
}

// Load reads the service's load report. Errors: ErrUnreachable.
func (s *Service) Load(ctx context.Context) (backend.Load, error) {
	return loadreport.Read(ctx, s.client, s.base, loadTimeout, maxLoad)
}
