package objects

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/bench/standin/ratelimit"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// MaxObject is the largest object in bytes.
const MaxObject = 16 << 20

// Server is the object store. It is an http.Handler.
type Server struct {
	// Objects is the state served; tests may inspect it.
	Objects *infratest.Objects
	// Fault is the fault plan in force.
	Fault httpkit.Fault[Fault]

	mux    *http.ServeMux
	dice   *httpkit.Dice
	reads  *ratelimit.Bucket
	writes *ratelimit.Bucket

	readCount, putCount, deleteCount        atomic.Int64
	bytesWritten, overCapacity, answersLost atomic.Int64
}

// New returns a server with an empty store.
func New(p Params) *Server {
	s := &Server{
		Objects: infratest.NewObjects(),
		mux:     http.NewServeMux(),
		dice:    httpkit.NewDice(p.Seed),
		reads:   ratelimit.NewBucket(p.ReadsPerSecond, burst, p.MaxWait),
		writes:  ratelimit.NewBucket(p.WritesPerSecond, burst, p.MaxWait),
	}
	s.Objects.Seed(p.Seed)
	s.Fault.OnSet = func(f Fault) { s.Objects.Faults.SetFaultPlan(f.plan()) }
	s.Fault.Mount(s.mux)
	httpkit.Healthz(s.mux)
	s.mux.HandleFunc("GET /stats", s.stats)
	s.mux.HandleFunc("GET /v1/object", s.limit(s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/object", s.limit(s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/object", s.limit(s.writes, s.delete))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// limit applies the capacity and checks the key.
func (s *Server) limit(bucket *ratelimit.Bucket, next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.dice.Hit(s.Fault.Get().DropBefore) {
			httpkit.Drop()
		}
		key := r.URL.Query().Get("key")
		if key == "" {
			httpkit.BadRequest(w, "key is required")
			return
		}
		if !bucket.Take(r.Context(), 1) {
			s.overCapacity.Add(1)
			httpkit.Unavailable(w, "over capacity")
			return
		}
		next(w, r, key)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:        s.readCount.Load(),
		Puts:         s.putCount.Load(),
		Deletes:      s.deleteCount.Load(),
		BytesWritten: s.bytesWritten.Load(),
		OverCapacity: s.overCapacity.Load(),
		AnswersLost:  s.answersLost.Load(),
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	data, err := s.Objects.Get(r.Context(), key)
	if err != nil {
		s.fail(w, err)
		return
	}
	s.readCount.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, key string) {
	data, ok := httpkit.ReadBody(w, r, MaxObject)
	if !ok {
		return
	}
	// The service finishes a write that it accepted even if the caller leaves.
	err := s.Objects.Put(context.WithoutCancel(r.Context()), key, data)
	if err == nil || errors.Is(err, infra.ErrOutcomeUnknown) {
		s.putCount.Add(1)
		s.bytesWritten.Add(int64(len(data)))
	}
	s.finish(w, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request, key string) {
	err := s.Objects.Delete(context.WithoutCancel(r.Context()), key)
	if err == nil || errors.Is(err, infra.ErrOutcomeUnknown) {
		s.deleteCount.Add(1)
	}
	s.finish(w, err)
}

func (s *Server) finish(w http.ResponseWriter, err error) {
	if err != nil {
		s.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		httpkit.Error(w, http.StatusNotFound, httpoutcome.CodeNotFound, "no such object")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		s.answersLost.Add(1)
		httpkit.Drop()
	default:
		httpkit.Unavailable(w, err.Error())
	}
}
