package callers

import (
	"log/slog"
	"net/http"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/limit"
)

// API serves the callers' HTTP API.
type API struct {
	cfg      Config
	inFlight *limit.InFlightLimiter
}

// Register creates an API and adds its routes to mux. It registers the pattern "/"
// for plain services; more specific patterns of other handlers take precedence.
func Register(mux *http.ServeMux, cfg Config) *API {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Scope = cfg.Scope.SubScope("callers")
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	a := &API{cfg: cfg, inFlight: limit.NewInFlightLimiter()}
	mux.HandleFunc("POST "+pathChat, a.generate)
	mux.HandleFunc("POST "+pathCompletions, a.generate)
	mux.HandleFunc("GET /v1/models", a.models)
	mux.HandleFunc("GET /healthz", a.healthz)
	mux.HandleFunc("GET /readyz", a.readyz)
	mux.HandleFunc("/", a.plain)
	return a
}
