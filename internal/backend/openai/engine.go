package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/backend/loadreport"
	"gentiantide.example/gentiantide/internal/httpsend"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	// controlTimeout limits load reports, orders and cancellations, which an
	// engine handles from memory.
	controlTimeout = 2 * time.Second
	// maxControlBytes limits the responses to them.
	maxControlBytes = 1 << 20
	// maxErrorBodyBytes is how much of the body of an error response is included
	// in the error message.
	maxErrorBodyBytes = 512
)

// Engine implements backend.Engine over HTTP.
type Engine struct {
	client *httpsend.Client
	base   string
}

var _ backend.Engine = (*Engine)(nil)

// New returns the engine at baseURL. All engines of a process should share a
// client, and so its connection pool.
func New(client *httpsend.Client, baseURL string) *Engine {
	return &Engine{client: client, base: strings.TrimRight(baseURL, "/")}
}

// Generate implements backend.Engine. The stream fails with ErrInterrupted when
// ctx is done or the deadline of the request passes. In addition to the errors
// of the interface it returns ErrFailed.
func (e *Engine) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	if req.Path != pathChat && req.Path != pathCompletions {
		return nil, fmt.Errorf("%w: unknown path %q", backend.ErrInvalid, req.Path)
	}
	body, err := requestBody(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withDeadline(ctx, req.Deadline)
	resp, err := e.client.Send(ctx, httpsend.Request{
		Method: http.MethodPost,
		URL:    e.base + req.Path,
		Header: requestHeader(req),
		Body:   body,
	})
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	if resp.StatusCode != http.StatusOK {
		err := responseError(resp)
		resp.Body.Close()
		cancel()
		return nil, err
	}
	return newStream(e, req, resp, cancel), nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func requestHeader(req backend.GenerateRequest) http.Header {
	header := http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	if req.ID != "" {
		header.Set(headerRequestID, req.ID)
	}
	return header
}

// Load implements backend.Engine.
func (e *Engine) Load(ctx context.Context) (backend.Load, error) {
	return loadreport.Read(ctx, e.client, e.base, controlTimeout, maxControlBytes)
}

// Order implements backend.Engine. In addition to the errors of the interface it
// returns ErrRefused if the engine did not run the order, ErrInvalid if it is
// malformed, and ErrFailed.
func (e *Engine) Order(ctx context.Context, order backend.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order: %w: %w", backend.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.client.Fetch(ctx, httpsend.Request{
		Method: http.MethodPost,
		URL:    e.base + "/v1/orders",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	}, maxControlBytes)
	switch {
	case err != nil:
		return fmt.Errorf("order: %w", sendError(err))
	case response.Status/100 == 2:
		return nil
	case response.Status == http.StatusConflict:
		return backend.ErrFenced
	default:
		return fmt.Errorf("order: %w", statusError(response.Status, response.Header, response.Body))
	}
}

// cancelRun cancels one run of a request on the engine.
func (e *Engine) cancelRun(requestID, runID string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	target := e.base + "/v1/requests/" + url.PathEscape(requestID) + "?run=" + url.QueryEscape(runID)
	// An error needs no handling: the connection is closed already, which cancels
	// the run on most engines.
	_, _ = e.client.Fetch(ctx, httpsend.Request{Method: http.MethodDelete, URL: target}, maxControlBytes)
}

// requestBody adds the fields stream, resume_from and generated to the caller's
// JSON object.
func requestBody(req backend.GenerateRequest) ([]byte, error) {
	body := bytes.TrimSpace(req.Body)
	if len(body) < 2 || body[0] != '{' || !json.Valid(body) {
		return nil, fmt.Errorf("%w: body is not a JSON object", backend.ErrInvalid)
	}
	out := make([]byte, 0, len(body)+len(req.Generated)+64)
	out = append(out, body[:len(body)-1]...)
	if len(bytes.TrimSpace(body[1:len(body)-1])) > 0 {
		out = append(out, ',')
	}
	out = append(out, `"stream":true`...)
	if req.ResumeFrom > 0 {
		generated, err := json.Marshal(req.Generated)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", backend.ErrInvalid, err)
		}
		out = fmt.Appendf(out, `,"resume_from":%d,"generated":`, req.ResumeFrom)
		out = append(out, generated...)
	}
	return append(out, '}'), nil
}
