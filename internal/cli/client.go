package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	maxAttempts = 4
	// requestTimeout exceeds the server's time limit for a settings change.
	requestTimeout = 30 * time.Second
	maxErrorBody   = 1 << 20
)

// apiError is an error response of the server.
type apiError struct {
	status  int
	code    string
	message string
	notRun  bool
}

func (e *apiError) Error() string {
	if e.code == "" {
		return fmt.Sprintf("server returned status %d: %s", e.status, e.message)
	}
	return e.code + ": " + e.message
}

// transportError means that no complete response arrived.
type transportError struct {
	err error
	// sent is false if the connection could not be established, so that no part
	// of the request was sent.
	sent bool
}

func (e *transportError) Error() string { return e.err.Error() }

// apiRequest describes an HTTP request.
type apiRequest struct {
	method, path string
	body         func() (io.ReadCloser, error) // nil: no body
	contentType  string
	key          string // value of the header Idempotency-Key
	// idempotent is set if sending the request twice has the same effect as
	// sending it once. Other requests are sent again only if the server certainly
	// did not run the first.
	idempotent bool
}

// client sends requests to one listener of a node.
type client struct {
	baseURL string
	http    *http.Client
	org     string
	// bearerToken is the caller's API key or the operator's token.
	bearerToken string
	retryDelay  time.Duration
}

func newClient(baseURL string, retryDelay time.Duration) *client {
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	return &client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{}, retryDelay: retryDelay}
}

// get sends a GET request and decodes the JSON response into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.json(ctx, apiRequest{method: http.MethodGet, path: path, idempotent: true}, out)
}

// post sends in as JSON and decodes the JSON response into out.
func (c *client) post(ctx context.Context, path string, in, out any, key string, idempotent bool) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	return c.json(ctx, apiRequest{method: http.MethodPost, path: path, body: body, contentType: "application/json", key: key, idempotent: idempotent}, out)
}

// json sends a request, with retries, and decodes the JSON response into out.
func (c *client) json(ctx context.Context, request apiRequest, out any) error {
	return c.retry(ctx, request, func() error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		return c.sendOnce(ctx, request, out)
	})
}

// sendOnce makes a single attempt and decodes the JSON response into out.
func (c *client) sendOnce(ctx context.Context, request apiRequest, out any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &transportError{errors.Wrap(err, "response was cut off"), true}
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode the server's response")
}

// retry repeats an attempt, with exponential delays, while its error is
// retryable.
func (c *client) retry(ctx context.Context, request apiRequest, attempt func() error) error {
	var err error
	for try := range maxAttempts {
		if try > 0 && !sleep(ctx, c.retryDelay<<(try-1)) {
			break
		}
		if err = attempt(); err == nil || !retryable(err, request.idempotent) {
			break
		}
	}
	return describeTransportError(err, request)
}

// retryable reports whether the error may be temporary and sending the request
// again is safe.
func retryable(err error, idempotent bool) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return idempotent || !transport.sent
	}
	var apiErr *apiError
	if errors.As(err, &apiErr) {
		return apiErr.exitCode() == exitUnavailable && apiErr.code != "outcome_unknown" && (idempotent || apiErr.notRun)
	}
	return false
}

// describeTransportError turns a transport error into one that says whether the
// server may have run the request; other errors stay as they are.
func describeTransportError(err error, request apiRequest) error {
	var transport *transportError
	if !errors.As(err, &transport) {
		return err
	}
	if transport.sent && !request.idempotent {
		return unavailablef("the outcome is unknown: the change may have been accepted; read the current state before sending it again: %v", err)
	}
	return unavailablef("server cannot be reached: %v", err)
}

// send makes a single attempt. A response with a status other than 2xx becomes an
// *apiError.
func (c *client) send(ctx context.Context, request apiRequest) (*http.Response, error) {
	var body io.ReadCloser
	if request.body != nil {
		var err error
		if body, err = request.body(); err != nil {
			return nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, request.method, c.baseURL+request.path, body)
	if err != nil {
		return nil, usagef("invalid server address: %v", err)
	}
	c.setHeaders(r, request)
	response, err := c.http.Do(r)
	if err != nil {
		var opErr *net.OpError
		dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
		return nil, &transportError{err, !dialFailed}
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readError(response)
}

func (c *client) setHeaders(r *http.Request, request apiRequest) {
	if request.contentType != "" {
		r.Header.Set("Content-Type", request.contentType)
	}
	if request.key != "" {
		r.Header.Set("Idempotency-Key", request.key)
	}
	if c.org != "" {
		r.Header.Set("OpenAI-Organization", c.org)
	}
	if c.bearerToken != "" {
		r.Header.Set("Authorization", "Bearer "+c.bearerToken)
	}
}

// readError converts an error response into an *apiError.
func readError(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			NotRun  any    `json:"not_run"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Message == "" {
		return &apiError{status: response.StatusCode, message: strings.TrimSpace(string(data[:min(len(data), 512)]))}
	}
	return &apiError{status: response.StatusCode, code: body.Error.Code, message: body.Error.Message, notRun: body.Error.NotRun == true}
}

// sleep waits for d and reports whether d passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
