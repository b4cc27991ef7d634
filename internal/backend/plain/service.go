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
	// HeaderNotRun is set to "true" in the response to a call that the service
	// did not run.
	HeaderNotRun = "X-Not-Run"
	// MaxResponseBytes limits the response body; a larger one is ErrInterrupted.
	MaxResponseBytes   = 16 << 20
	loadTimeout        = 2 * time.Second
	maxLoadReportBytes = 1 << 20
)

// Service implements backend.Service over HTTP.
type Service struct {
	client *httpsend.Client
	base   string
}

var _ backend.Service = (*Service)(nil)

// New returns the service at baseURL. All services of a process should share a
// client, and so its connection pool.
func New(client *httpsend.Client, baseURL string) *Service {
	return &Service{client: client, base: strings.TrimRight(baseURL, "/")}
}

// NotRun reports whether the service responded that it did not run the call.
func NotRun(response backend.CallResponse) bool { return response.Header.Get(HeaderNotRun) == "true" }

// Do implements backend.Service. Every complete response is returned, whatever
// its status. The only time limit is that of ctx. A path that does not begin
// with a slash is ErrInvalid, because appended to the base URL it could change
// the host.
func (s *Service) Do(ctx context.Context, call backend.Call) (backend.CallResponse, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return backend.CallResponse{}, fmt.Errorf("%w: path %q does not begin with a slash", backend.ErrInvalid, call.Path)
	}
	response, err := s.client.Fetch(ctx, httpsend.Request{
		Method: call.Method,
		URL:    s.base + call.Path,
		Header: endToEndHeaders(call.Header),
		Body:   call.Body,
	}, MaxResponseBytes)
	if err != nil {
		if httpsend.MaybeSent(err) {
			return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrInterrupted, err)
		}
		return backend.CallResponse{}, fmt.Errorf("%w: %w", backend.ErrUnreachable, err)
	}
	return backend.CallResponse{Status: response.Status, Header: endToEndHeaders(response.Header), Body: response.Body}, nil
}

// Load fetches the load report of the service. Errors: ErrUnreachable.
func (s *Service) Load(ctx context.Context) (backend.Load, error) {
	return loadreport.Read(ctx, s.client, s.base, loadTimeout, maxLoadReportBytes)
}
