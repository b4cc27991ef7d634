package httpobjects

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
)

const (
	// DefaultTimeout bounds one call, which moves up to MaxObject bytes.
	DefaultTimeout = 10 * time.Second
	// MaxObject is the largest object in bytes.
	MaxObject = 16 << 20
)

// Objects is a infra.Objects behind HTTP.
type Objects struct {
	client  *httpsend.Client
	base    string
	timeout time.Duration
}

var _ infra.Objects = (*Objects)(nil)

// New returns an object store whose calls end after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Objects {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Objects{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (o *Objects) Close() { o.client.Close() }

// Put implements infra.Objects. An object above MaxObject is an untyped
// error; nothing is sent.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if len(data) > MaxObject {
		return fmt.Errorf("put object %q: %d bytes exceed the limit of %d", key, len(data), MaxObject)
	}
	if err := httpoutcome.WriteError(o.call(ctx, http.MethodPut, key, data)); err != nil {
		return fmt.Errorf("put object %q: %w", key, err)
	}
	return nil
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	reply, err := o.call(ctx, http.MethodGet, key, nil)
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return nil, fmt.Errorf("get object %q: %w", key, err)
	}
	return reply.Body, nil
}

// Delete implements infra.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := httpoutcome.WriteError(o.call(ctx, http.MethodDelete, key, nil)); err != nil {
		return fmt.Errorf("delete object %q: %w", key, err)
	}
	return nil
}

func (o *Objects) call(ctx context.Context, method, key string, data []byte) (httpsend.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.client.Fetch(ctx, httpsend.Request{
		Method:     method,
		URL:        o.base + "/v1/object?" + url.Values{"key": {key}}.Encode(),
		Body:       data,
		Replayable: method == http.MethodGet,
	}, MaxObject)
}
