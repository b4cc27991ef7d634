package engine

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/backend"
)

const (
	// maxBody and maxOrder are the maximum sizes of a request body and of an
	// order in bytes.
	maxBody  = 16 << 20
	maxOrder = 64 << 10
	// HeaderNotRun is "true" in a response to a request that did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderRun carries Sequence.Run. DELETE /v1/requests/{id} takes it as ?run=.
	HeaderRun = "X-Engine-Run"
)

// Server serves an Engine over HTTP. It implements http.Handler.
type Server struct {
	Engine *Engine
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]
	// Exit, if not nil, is called when a fault plan with Crash is set. It must
	// end the process.
	Exit func()

	mux        *http.ServeMux
	controlMux *http.ServeMux // /fault and /stats, which respond also while the engine is crashed
}

// NewServer starts an engine and returns its server. Close stops the engine.
func NewServer(p Params) *Server {
	s := &Server{Engine: New(p), mux: http.NewServeMux(), controlMux: http.NewServeMux()}
	s.Fault.OnSet = func(f Fault) {
		s.Engine.SetFault(f)
		if f.Crash && s.Exit != nil {
			s.Exit()
		}
	}
	s.Fault.Mount(s.controlMux)
	s.controlMux.HandleFunc("GET /stats", s.stats)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("POST /v1/chat/completions", s.generate(true))
	s.mux.HandleFunc("POST /v1/completions", s.generate(false))
	s.mux.HandleFunc("DELETE /v1/requests/{id}", s.cancel)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("GET /v1/kv/{id}", s.exportKV)
	s.mux.HandleFunc("PUT /v1/kv/{id}", s.importKV)
	s.mux.HandleFunc("GET /v1/cache/events", s.events)
	return s
}

// Close stops the engine.
func (s *Server) Close() { s.Engine.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/fault" || r.URL.Path == "/stats" {
		s.controlMux.ServeHTTP(w, r)
		return
	}
	if s.Fault.Get().Crash {
		httpkit.Drop()
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.Fault.Get().NoLoad {
		httpkit.Unavailable(w, "unhealthy")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) generate(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Engine.rnd.Chance(s.Fault.Get().Drop) {
			httpkit.Drop()
		}
		body, ok := httpkit.ReadBody(w, r, maxBody)
		if !ok {
			return
		}
		req, err := ParseRequest(r.Header.Get("X-Request-Id"), chat, body)
		if err != nil {
			httpkit.BadRequest(w, err.Error())
			return
		}
		seq, err := s.Engine.Submit(req)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set(HeaderRun, strconv.FormatUint(seq.Run, 10))
		s.respond(w, r, seq)
	}
}

// writeError responds to a request or order that was not accepted.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrInvalid):
		httpkit.BadRequest(w, strings.ReplaceAll(err.Error(), "\n", ": "))
	case errors.Is(err, ErrFailed):
		httpkit.Error(w, http.StatusInternalServerError, "generation_failed", err.Error())
	default:
		w.Header().Set(HeaderNotRun, "true")
		httpkit.Unavailable(w, err.Error())
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	run := uint64(0)
	if text := r.URL.Query().Get("run"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			httpkit.BadRequest(w, "run must be a number")
			return
		}
		run = n
	}
	if s.Engine.CancelID(r.PathValue("id"), run) == 0 {
		httpkit.Error(w, http.StatusNotFound, "not_found", "no waiting or running request with this id")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	if s.Fault.Get().NoLoad {
		httpkit.Unavailable(w, "no load report")
		return
	}
	httpkit.WriteJSON(w, http.StatusOK, s.Engine.Report())
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order backend.Order
	if !httpkit.ReadJSON(w, r, maxOrder, &order) {
		return
	}
	err := s.Engine.Order(order)
	switch {
	case errors.Is(err, ErrFenced):
		httpkit.Error(w, http.StatusConflict, "fenced", err.Error())
	case err != nil:
		writeError(w, err)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	blob, ok := s.Engine.ExportKV(r.PathValue("id"))
	if !ok {
		httpkit.Error(w, http.StatusNotFound, "not_found", "no KV cache of this request")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(blob)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	blob, ok := httpkit.ReadBody(w, r, maxBody)
	if !ok {
		return
	}
	if err := s.Engine.ImportKV(r.PathValue("id"), blob); err != nil {
		httpkit.BadRequest(w, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			httpkit.BadRequest(w, "after must be a number")
			return
		}
		after = n
	}
	httpkit.WriteJSON(w, http.StatusOK, map[string]any{"events": s.Engine.Events(after, 1000)})
}

func (s *Server) stats(w http.ResponseWriter, r *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, s.Engine.Stats(r.URL.Query().Get("ids") == "true"))
}
