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
	requestTries = 4
	// requestTimeout is longer than a settings change may take at the server.
	requestTimeout = 30 * time.Second
	maxErrorBody   = 1 << 20
)

// apiError is a refusal that the server answered with.
type apiError struct {
	status  int
	code    string
	message string
	notRun  bool
}

func (e *apiError) Error() string {
	if e.code == "" {
		return fmt.Sprintf("the server answered with status %d: %s", e.status, e.message)
	}
	return e.code + ": " + e.message
}

// transportError means that no whole answer arrived.
type transportError struct {
	err error
	// sent is false if the connection was not made, so that nothing was sent.
	sent bool
}

func (e *transportError) Error() string { return e.err.Error() }

// call is one request.
type call struct {
	method, path string
	body         func() (io.ReadCloser, error) // nil: no body
	contentType  string
	key          string // Idempotency-Key
	// repeatable is set if sending the request twice does no more than sending
	// it once. Others are sent again only if the first surely was not run.
	repeatable bool
}

// client talks to one listener of a node.
type client struct {
	base string
	http *http.Client
	org  string
	// bearer is the caller's API key or the operator's token.
	bearer string
	pause  time.Duration
}

func newClient(base string, pause time.Duration) *client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{}, pause: pause}
}

// get reads JSON.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.json(ctx, call{method: http.MethodGet, path: path, repeatable: true}, out)
}

// post sends and reads JSON.
func (c *client) post(ctx context.Context, path string, in, out any, key string, repeatable bool) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	return c.json(ctx, call{method: http.MethodPost, path: path, body: body, contentType: "application/json", key: key, repeatable: repeatable}, out)
}

func (c *client) json(ctx context.Context, request call, out any) error {
	return c.retry(ctx, request, func() error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		return c.once(ctx, request, out)
	})
}

// once makes one attempt and decodes the answer.
func (c *client) once(ctx context.Context, request call, out any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &transportError{errors.Wrap(err, "the answer was cut off"), true}
	}
	return errors.Wrap(json.Unmarshal(data, out), "the server's answer is not as expected")
}

// retry repeats an attempt while that is safe and may help.
func (c *client) retry(ctx context.Context, request call, attempt func() error) error {
	var err error
	for try := range requestTries {
		if try > 0 && !pause(ctx, c.pause<<(try-1)) {
			break
		}
		if err = attempt(); err == nil || !mayRetry(err, request.repeatable) {
			break
		}
	}
	return explainTransport(err, request)
}

// mayRetry reports whether sending the request again is safe and may help.
func mayRetry(err error, repeatable bool) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return repeatable || !transport.sent
	}
	var api *apiError
	if errors.As(err, &api) {
		return api.exitCode() == exitUnavailable && api.code != "outcome_unknown" && (repeatable || api.notRun)
	}
	return false
}

func explainTransport(err error, request call) error {
	var transport *transportError
	if !errors.As(err, &transport) {
		return err
	}
	if transport.sent && !request.repeatable {
		return unavailablef("the outcome is unknown, the change may have been accepted; read before sending it again: %v", err)
	}
	return unavailablef("the server cannot be reached: %v", err)
}

// send makes one attempt; an answer other than 2xx is an *apiError.
func (c *client) send(ctx context.Context, request call) (*http.Response, error) {
	var body io.ReadCloser
	if request.body != nil {
		var err error
		if body, err = request.body(); err != nil {
			return nil, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, request.method, c.base+request.path, body)
	if err != nil {
		return nil, usagef("the server's address is not valid: %v", err)
	}
	c.header(r, request)
	response, err := c.http.Do(r)
	if err != nil {
		var op *net.OpError
		dial := errors.As(err, &op) && op.Op == "dial"
		return nil, &transportError{err, !dial}
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readError(response)
}

func (c *client) header(r *http.Request, request call) {
	if request.contentType != "" {
		r.Header.Set("Content-Type", request.contentType)
	}
	if request.key != "" {
		r.Header.Set("Idempotency-Key", request.key)
	}
	if c.org != "" {
		r.Header.Set("OpenAI-Organization", c.org)
	}
	if c.bearer != "" {
		r.Header.Set("Authorization", "Bearer "+c.bearer)
	}
}

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

// pause waits and reports whether the context is still in force.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
