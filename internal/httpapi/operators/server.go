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

// Server has what the endpoints need.
type Server struct {
	// Editor is nil on a node whose configuration comes from elsewhere.
	Editor Editor
	// Fleet lists nodes and backend servers with state and reason.
	Fleet func() any
	// Dump returns the state of the process.
	Dump func() any
	// Metrics serves the metrics as text.
	Metrics http.Handler
	// Version is the version of the program.
	Version string
	// TokenDigests are the SHA-256 digests of the tokens of which each request
	// below /admin/ must present one; empty: no token is required.
	TokenDigests [][sha256.Size]byte
}

// Register adds the endpoints below /admin/, which require a token if there
// are any, and /healthz, which never does, to a mux.
func (s *Server) Register(mux *http.ServeMux) {
	admin := http.NewServeMux()
	s.registerAdmin(admin)
	mux.Handle("/admin/", s.authorised(admin))
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
	if s.Metrics != nil {
		mux.Handle("GET /admin/v1/metrics", s.Metrics)
	}
	mux.HandleFunc("/admin/", func(w http.ResponseWriter, r *http.Request) {
		writeRefusal(w, core.Refuse(core.CodeNotFound, "no endpoint "+r.Method+" "+r.URL.Path))
	})
}

func (s *Server) registerSettings(mux *http.ServeMux) {
	if s.Editor == nil {
		elsewhere := func(w http.ResponseWriter, _ *http.Request) {
			writeRefusal(w, core.Refuse(core.CodeNotFound, "this node has no settings tree: it follows the configuration and the drains in the platform's store"))
		}
		mux.HandleFunc("/admin/v1/settings", elsewhere)
		mux.HandleFunc("/admin/v1/settings/", elsewhere)
		mux.HandleFunc("/admin/v1/drain", elsewhere)
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
