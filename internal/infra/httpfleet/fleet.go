package httpfleet

import (
	"context"
	"encoding/json"
	"errors"
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
	// DefaultTimeout is the timeout of one call.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes is enough for about 20,000 VMs; the design scale is
	// 2,200 VMs.
	maxResponseBytes = 8 << 20
)

// errNoList is the error of a response that holds null: it must not pass for an empty
// fleet.
var errNoList = errors.New("response holds no list")

// Fleet is an HTTP client that implements infra.FleetList. It sends conditional
// requests with the entity tag of the last response: at the design scale the
// list is 330 KB and seldom changes, but each node reads it every second.
type Fleet struct {
	client  *httpsend.Client
	base    string // URL without a trailing slash
	timeout time.Duration

	mu   sync.Mutex
	etag string // entity tag of last; empty if the service sends none
	last []infra.VM
}

var _ infra.FleetList = (*Fleet)(nil)

// New returns a client whose calls time out after timeout (0: DefaultTimeout).
func New(baseURL string, timeout time.Duration) *Fleet {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Fleet{client: httpsend.New(), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Close closes the idle connections.
func (f *Fleet) Close() { f.client.Close() }

// List implements infra.FleetList. The result is cached and must not be
// modified.
func (f *Fleet) List(ctx context.Context) ([]infra.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	etag, last := f.cached()
	request := httpsend.Request{Method: http.MethodGet, URL: f.base + "/fleet", Replayable: true}
	if etag != "" {
		request.Header = http.Header{"If-None-Match": {etag}}
	}
	reply, err := f.client.Fetch(ctx, request, maxResponseBytes)
	if err == nil && etag != "" && reply.Status == http.StatusNotModified {
		return last, nil
	}
	if err := httpoutcome.ReadError(reply, err); err != nil {
		return nil, fmt.Errorf("fleet list: %w", err)
	}
	var vms []infra.VM
	err = json.Unmarshal(reply.Body, &vms)
	if err == nil && vms == nil {
		err = errNoList
	}
	if err != nil {
		return nil, fmt.Errorf("fleet list: %w: malformed response: %w", infra.ErrUnavailable, err)
	}
	f.mu.Lock()
	f.etag, f.last = reply.Header.Get("ETag"), vms
	f.mu.Unlock()
	return vms, nil
}

func (f *Fleet) cached() (string, []infra.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.etag, f.last
}
