package httpfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
)

const (
	// DefaultTimeout bounds one call.
	DefaultTimeout = 2 * time.Second
	// maxAnswer holds about 20,000 VMs; the design scale is 2,200.
	maxAnswer = 8 << 20
)

// Fleet is a infra.FleetList behind HTTP. It asks with the entity tag of the
// last answer: at the design scale the list is 330 KB and seldom changes, while
// each node reads it every second.
type Fleet struct {
	client  *httpsend.Client
	base    string
	timeout time.Duration

	mu   sync.Mutex
	tag  string // of last; empty if the service sends none
	last []infra.VM
}

var _ infra.FleetList = (*Fleet)(nil)

// New returns a fleet list whose calls end after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Fleet {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Fleet{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (f *Fleet) Close() { f.client.Close() }

// List implements infra.FleetList. The caller must not change the list.
func (f *Fleet) List(ctx context.Context) ([]infra.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	tag, last := f.cached()
	request := httpsend.Request{Method: http.MethodGet, URL: f.base + "/fleet", Replayable: true}
	if tag != "" {
		request.Header = http.Header{"If-None-Match": {tag}}
	}
	reply, err := f.client.Fetch(ctx, request, maxAnswer)
	if err == nil && tag != "" && reply.Status == http.StatusNotModified {
		return last, nil
	}
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return nil, fmt.Errorf("fleet list: %w", err)
	}
	var vms []infra.VM
	if err := json.Unmarshal(reply.Body, &vms); err != nil {
		return nil, fmt.Errorf("fleet list: %w: malformed answer: %w", infra.ErrUnavailable, err)
	}
	f.mu.Lock()
	f.tag, f.last = reply.Header.Get("ETag"), vms
	f.mu.Unlock()
	return vms, nil
}

func (f *Fleet) cached() (string, []infra.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tag, f.last
}
