package httpweights

import (
	"context"
	"encoding/json"
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
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	maxAnswer      = 64 << 10
)

// Stat is the answer of the weight store about one model version.
type Stat struct {
	// Size is in bytes.
	Size int64 `json:"size"`
}

// Weights is a infra.Weights behind HTTP.
type Weights struct {
	client  *httpsend.Client
	base    string
	timeout time.Duration
}

var _ infra.Weights = (*Weights)(nil)

// New returns a weight store whose calls end after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Weights {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Weights{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (w *Weights) Close() { w.client.Close() }

// Stat implements infra.Weights.
func (w *Weights) Stat(ctx context.Context, model, version string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	query := url.Values{"model": {model}, "version": {version}}.Encode()
	reply, err := w.client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: w.base + "/stat?" + query, Replayable: true}, maxAnswer)
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return 0, fmt.Errorf("weights %s@%s: %w", model, version, err)
	}
	var stat Stat
	if err := json.Unmarshal(reply.Body, &stat); err != nil {
		return 0, fmt.Errorf("weights %s@%s: %w: malformed answer: %w", model, version, infra.ErrUnavailable, err)
	}
	return stat.Size, nil
}
