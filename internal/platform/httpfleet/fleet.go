package httpfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/platform"
	"gentiantide.example/gentiantide/internal/platform/httpoutcome"
)

const (
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	// maxAnswer holds about 20,000 VMs; the design scale is 2,200.
	maxAnswer = 8 << 20
)

// Fleet is a platform.FleetList behind HTTP.
type Fleet struct {
	client  *httpsend.Client
	base    string
	timeout time.Duration
}

var _ platform.FleetList = (*Fleet)(nil)

// New returns a fleet list whose calls end after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Fleet {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Fleet{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (f *Fleet) Close() { f.client.Close() }

// List implements platform.FleetList.
func (f *Fleet) List(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	reply, err := f.client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: f.base + "/fleet", Replayable: true}, maxAnswer)
	if err := httpoutcome.Read(reply, err); err != nil {
		return nil, fmt.Errorf("fleet list: %w", err)
	}
	var vms []platform.VM
	if err := json.Unmarshal(reply.Body, &vms); err != nil {
		return nil, fmt.Errorf("fleet list: %w: malformed answer: %w", platform.ErrUnavailable, err)
	}
	return vms, nil
}
