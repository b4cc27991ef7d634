package operators

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// Editor reads and changes the settings tree.
type Editor interface {
	Explain(ctx context.Context, path string) (settings.Explanation, *core.Refusal)
	Apply(ctx context.Context, c settings.Change) (settings.Result, *core.Refusal)
	DryRun(ctx context.Context, c settings.Change) (settings.Result, *core.Refusal)
	History(ctx context.Context, path string, limit int) ([]settings.Entry, *core.Refusal)
}

// Server serves the endpoints of the operators' API.
type Server struct {
	// Editor is nil on a node without a settings tree; settings and drain requests
	// then get status 404.
	Editor Editor
	// Fleet returns the nodes and backend servers with their state and its reason.
	Fleet func() any
	// Dump returns the state of the process.
	Dump func() any
	// Quarantine is nil on a node without one.
	Quarantine Quarantine
	// Organisations returns the organisations of the configuration. It is nil on a node
	// whose configuration names none.
	Organisations func(context.Context) OrganisationList
	// Configuration returns the configuration in force. It is nil on a node with a settings
	// tree.
	Configuration func() *Configuration
	// Metrics serves the metrics as text; nil: there is no metrics endpoint.
	Metrics http.Handler
	// Version is the program's version.
	Version string
	// TokenDigests are the SHA-256 digests of the accepted tokens. Each request
	// below /admin/ must carry one of them; if empty, no token is required.
	TokenDigests [][sha256.Size]byte
}

// Register adds the endpoints to mux: those below /admin/, which require a token
// if TokenDigests is not empty, and /healthz, which never does.
func (s *Server) Register(mux *http.ServeMux) {
	admin := http.NewServeMux()
	s.registerAdmin(admin)
	mux.Handle("/admin/", s.requireToken(admin))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, "ok\n")
	})
}

func (s *Server) registerAdmin(mux *http.ServeMux) {
	s.registerSettings(mux)
	mux.HandleFunc("GET /admin/v1/fleet", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Fleet()) })
	mux.HandleFunc("GET /admin/v1/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Dump()) })
	mux.HandleFunc("GET /admin/v1/version", s.version)
	s.registerQuarantine(mux)
	s.registerOrganisations(mux, s.Organisations)
	s.registerConfiguration(mux, s.Configuration)
	if s.Metrics != nil {
		mux.Handle("GET /admin/v1/metrics", s.Metrics)
	}
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, core.Refuse(core.CodeNotFound, "no endpoint "+r.Method+" "+r.URL.Path))
	})
}

func (s *Server) registerSettings(mux *http.ServeMux) {
	if s.Editor == nil {
		unsupported := func(w http.ResponseWriter, _ *http.Request) {
			writeRefusal(w, core.Refuse(core.CodeNotFound, "this node has no settings tree: it follows the configuration and the drains in the platform's store"))
		}
		mux.HandleFunc("/admin/v1/settings", unsupported)
		mux.HandleFunc("/admin/v1/settings/", unsupported)
		mux.HandleFunc("/admin/v1/drain", unsupported)
		return
	}
	mux.HandleFunc("GET /admin/v1/settings", s.getSettings)
	mux.HandleFunc("POST /admin/v1/settings", s.changeSettings)
	mux.HandleFunc("GET /admin/v1/settings/history", s.history)
	mux.HandleFunc("POST /admin/v1/drain", s.drain)
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"version": s.Version})
}
