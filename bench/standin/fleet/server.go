package fleet

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/infra"
)

// maxList is the maximum size of a request body in bytes.
const maxList = 8 << 20

// Server serves the fleet list over HTTP. It implements http.Handler.
type Server struct {
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]

	params Params
	mux    *http.ServeMux

	mu      sync.Mutex
	history history
}

// New returns a server with an empty list.
func New(p Params) *Server {
	s := &Server{params: p, mux: http.NewServeMux()}
	s.Fault.Mount(s.mux)
	httpkit.MountHealthz(s.mux)
	s.mux.HandleFunc("GET /fleet", s.get)
	s.mux.HandleFunc("PUT /fleet", s.put)
	s.mux.HandleFunc("PATCH /fleet", s.patch)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the whole list. The first list is visible at once, as if the fleet
// had existed before the service started; later ones are visible after the lag.
func (s *Server) Set(vms []infra.VM) {
	if vms == nil {
		vms = []infra.VM{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Now()
	if len(s.history.versions) == 0 {
		since = time.Time{}
	}
	s.history.set(since, vms)
}

// Visible returns the list that callers see now, which is older by the lag.
func (s *Server) Visible() []infra.VM {
	lag := s.params.Lag + time.Duration(s.Fault.Get().ExtraLag)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.at(time.Now().Add(-lag))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	fault := s.Fault.Get()
	if !httpkit.Sleep(r.Context(), time.Duration(fault.Delay)) || fault.Down {
		httpkit.Unavailable(w, "fleet list is unavailable")
		return
	}
	body, err := json.Marshal(s.Visible())
	if err != nil {
		httpkit.Error(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	vms := []infra.VM{}
	if !httpkit.ReadJSON(w, r, maxList, &vms) {
		return
	}
	if err := checkVMs(vms); err != nil {
		httpkit.BadRequest(w, err.Error())
		return
	}
	s.Set(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	var change Change
	if !httpkit.ReadJSON(w, r, maxList, &change) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vms, err := change.apply(s.history.latest())
	if err != nil {
		httpkit.BadRequest(w, err.Error())
		return
	}
	s.history.set(time.Now(), vms)
	w.WriteHeader(http.StatusNoContent)
}
