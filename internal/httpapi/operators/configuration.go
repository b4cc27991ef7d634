package operators

import (
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
)

// Configuration is the response of GET /admin/v1/configuration.
type Configuration struct {
	Version int64 `json:"version"`
	// Entries are its values by their names. Keys are told by their digests.
	Entries map[string]string `json:"entries"`
}

// registerConfiguration adds the endpoint that shows the configuration in force. load
// returns nil if the node has none.
func (s *Server) registerConfiguration(mux *http.ServeMux, load func() *Configuration) {
	if load == nil {
		return
	}
	mux.HandleFunc("GET /admin/v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		c := load()
		if c == nil {
			writeRefusal(w, core.Refuse(core.CodeStoreUnavailable, "the node has no configuration yet"))
			return
		}
		writeJSON(w, http.StatusOK, c)
	})
}
