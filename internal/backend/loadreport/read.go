// Package loadreport reads the load report that model engines and plain
// services give in the same form: GET /v1/load answers a backend.Load as JSON.
package loadreport

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/httpsend"
)

// Read reads the report of the backend server at a base URL within timeout; an
// answer larger than limit bytes is an error. Errors: backend.ErrUnreachable.
func Read(ctx context.Context, client *httpsend.Client, base string, timeout time.Duration, limit int64) (backend.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: base + "/v1/load", Replayable: true}, limit)
	if err != nil {
		return backend.Load{}, fmt.Errorf("load report: %w: %w", backend.ErrUnreachable, err)
	}
	if reply.Status != http.StatusOK {
		return backend.Load{}, fmt.Errorf("load report: %w: status %d", backend.ErrUnreachable, reply.Status)
	}
	var load backend.Load
	if err := json.Unmarshal(reply.Body, &load); err != nil {
		return backend.Load{}, fmt.Errorf("load report: %w: %w", backend.ErrUnreachable, err)
	}
	return load, nil
}
