package plain

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/backend"
	plainadapter "gentiantide.example/gentiantide/internal/backend/plain"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 1 << 20

// Server is the permit desk. It implements http.Handler.
type Server struct {
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]

	params Params
	mux    *http.ServeMux
	rnd    *httpkit.SeededRand
	slots  chan struct{}

	waiting, rules, refused atomic.Int64

	mu      sync.Mutex
	issued  int
	permits map[string]int
}

// New returns a server that has issued no permits.
func New(p Params) *Server {
	s := &Server{
		params:  p,
		mux:     http.NewServeMux(),
		rnd:     httpkit.NewSeededRand(p.Seed),
		slots:   make(chan struct{}, max(p.Slots, 1)),
		permits: make(map[string]int),
	}
	s.Fault.Mount(s.mux)
	httpkit.MountHealthz(s.mux)
	s.mux.HandleFunc("POST /permit-desk/issue", s.issue)
	s.mux.HandleFunc("GET /permit-desk/rules/{id}", s.rule)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		httpkit.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counts since the server started.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Stats{
		Permits:  make(map[string]int, len(s.permits)),
		Repeated: []string{},
		Issued:   s.issued,
		Rules:    s.rules.Load(),
		Refused:  s.refused.Load(),
	}
	for id, n := range s.permits {
		out.Permits[id] = n
		if n > 1 {
			out.Repeated = append(out.Repeated, id)
		}
	}
	sort.Strings(out.Repeated)
	return out
}

func (s *Server) issue(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Permit    string `json:"permit"`
		Committee string `json:"committee"`
		Slot      string `json:"slot"`
		Steps     string `json:"steps"`
	}
	if !httpkit.ReadJSON(w, r, maxBody, &body) {
		return
	}
	if body.Permit == "" {
		httpkit.BadRequest(w, "permit is required")
		return
	}
	number := 0
	// A call that has started executes even if the caller closes the connection.
	if !s.run(context.WithoutCancel(r.Context()), w, func() { number = s.record(body.Permit) }) {
		return
	}
	httpkit.WriteJSON(w, http.StatusOK, map[string]any{"permit": body.Permit, "number": number})
}

func (s *Server) rule(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if s.run(r.Context(), w, func() { s.rules.Add(1) }) {
		httpkit.WriteJSON(w, http.StatusOK, map[string]string{"id": id, "rule": "rule " + id})
	}
}

// run executes a call subject to the fault plan. It returns false if it has
// already responded that the call was not run.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, execute func()) bool {
	fault := s.Fault.Get()
	if s.rnd.Chance(fault.Refuse) {
		s.refused.Add(1)
		w.Header().Set(plainadapter.HeaderNotRun, "true")
		httpkit.Unavailable(w, "not run")
		return false
	}
	if s.rnd.Chance(fault.DropBefore) {
		httpkit.Drop()
	}
	s.waiting.Add(1)
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	done := httpkit.Sleep(ctx, s.params.CallDuration+time.Duration(fault.Slow))
	if done {
		execute()
	}
	<-s.slots
	if !done || s.rnd.Chance(fault.DropAfter) {
		httpkit.Drop()
	}
	return true
}

// record counts an execution and returns its number.
func (s *Server) record(permit string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.issued++
	s.permits[permit]++
	return s.issued
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, backend.Load{
		At:      time.Now(),
		Running: len(s.slots),
		Waiting: int(s.waiting.Load()),
		Slots:   cap(s.slots),
		Leaving: s.Fault.Get().Leaving,
	})
}
