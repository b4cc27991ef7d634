// Package loadreport reads the load report of a backend server. Model engines
// and plain services both serve it at GET /v1/load, as a backend.Load in JSON.
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

// Read fetches the load report of the backend server at the base URL. A response
// that takes longer than timeout or is larger than limit bytes is an error.
// Errors: backend.ErrUnreachable.
func Read(ctx context.Context, client *httpsend.Client, base string, timeout time.Duration, limit int64) (backend.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.Fetch(ctx, httpsend.Request{Method: http.MethodGet, URL: base + "/v1/load", Replayable: true}, limit)
	if err != nil {
		return backend.Load{}, fmt.Errorf("load report: %w: %w", backend.ErrUnreachable, err)
	}
	if response.Status != http.StatusOK {
		return backend.Load{}, fmt.Errorf("load report: %w: status %d", backend.ErrUnreachable, response.Status)
	}
	var load backend.Load
	if err := json.Unmarshal(response.Body, &load); err != nil {
		return backend.Load{}, fmt.Errorf("load report: %w: %w", backend.ErrUnreachable, err)
	}
	return load, nil
}
