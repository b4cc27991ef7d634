package operators

import (
	"context"
	"net/http"
)

// OrganisationList is the response of GET /admin/v1/organisations.
type OrganisationList struct {
	// ConfigVersion is the version of the configuration that names them, and ConfigAgeMS the
	// time since it was last confirmed, or -1 if it never was.
	ConfigVersion int64          `json:"config_version"`
	ConfigAgeMS   int64          `json:"config_age_ms"`
	Organisations []Organisation `json:"organisations"`
}

// Organisation is a customer whose callers share limits.
type Organisation struct {
	Name string `json:"name"`
	// Priority is nil if that of the routes holds.
	Priority *int `json:"priority,omitempty"`
	// Keys is the number of its keys.
	Keys int `json:"keys"`
	// RequestsPerSecond and Burst are 0 if its requests are not limited.
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
	// Use is what nodes were given of the limit lately, in requests a second, and Refused
	// the number of requests that the nodes that keep its ledgers have refused.
	Use     float64 `json:"use"`
	Refused int64   `json:"refused"`
	// WaitingTokens are those of the items of its open jobs that have no result.
	WaitingTokens int64 `json:"waiting_tokens"`
	OpenJobs      int   `json:"open_jobs"`
}

// registerOrganisations adds the endpoint that lists the organisations.
func (s *Server) registerOrganisations(mux *http.ServeMux, list func(context.Context) OrganisationList) {
	if list == nil {
		return
	}
	mux.HandleFunc("GET /admin/v1/organisations", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, list(r.Context()))
	})
}
