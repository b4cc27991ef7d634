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

// MaxObject is the maximum size of an object in bytes.
const MaxObject = 16 << 20

// Server serves the object store over HTTP. It implements http.Handler.
type Server struct {
	// Objects is the store behind the API. Tests may inspect it.
	Objects *infratest.Objects
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]

	mux    *http.ServeMux
	rnd    *httpkit.SeededRand
	reads  *ratelimit.Bucket
	writes *ratelimit.Bucket

	readCount, putCount, deleteCount          atomic.Int64
	bytesWritten, overCapacity, responsesLost atomic.Int64
}

// New returns a server with an empty store.
func New(p Params) *Server {
	s := &Server{
		Objects: infratest.NewObjects(),
		mux:     http.NewServeMux(),
		rnd:     httpkit.NewSeededRand(p.Seed),
		reads:   ratelimit.NewBucket(p.ReadsPerSecond, burst, p.MaxWait),
		writes:  ratelimit.NewBucket(p.WritesPerSecond, burst, p.MaxWait),
	}
	s.Objects.Seed(p.Seed)
	s.Fault.OnSet = func(f Fault) { s.Objects.Faults.SetFaultPlan(f.faultPlan()) }
	s.Fault.Mount(s.mux)
	httpkit.MountHealthz(s.mux)
	s.mux.HandleFunc("GET /stats", s.stats)
	s.mux.HandleFunc("GET /v1/object", s.limitRate(s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/object", s.limitRate(s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/object", s.limitRate(s.writes, s.delete))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// limitRate wraps a handler: it drops connections according to the fault plan,
// requires a key and applies the rate limit of the bucket.
func (s *Server) limitRate(bucket *ratelimit.Bucket, next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.rnd.Chance(s.Fault.Get().DropBefore) {
			httpkit.Drop()
		}
		key := r.URL.Query().Get("key")
		if key == "" {
			httpkit.BadRequest(w, "key is required")
			return
		}
		if !bucket.Take(r.Context(), 1) {
			s.overCapacity.Add(1)
			httpkit.Unavailable(w, "rate limit exceeded")
			return
		}
		next(w, r, key)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the counts since the server started.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:         s.readCount.Load(),
		Puts:          s.putCount.Load(),
		Deletes:       s.deleteCount.Load(),
		BytesWritten:  s.bytesWritten.Load(),
		OverCapacity:  s.overCapacity.Load(),
		ResponsesLost: s.responsesLost.Load(),
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, key string) {
	data, err := s.Objects.Get(r.Context(), key)
	if err != nil {
		s.writeError(w, err)
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
	// As in the real service, a write that was accepted takes effect even if the
	// caller closes the connection.
	err := s.Objects.Put(context.WithoutCancel(r.Context()), key, data)
	if err == nil || errors.Is(err, infra.ErrOutcomeUnknown) {
		s.putCount.Add(1)
		s.bytesWritten.Add(int64(len(data)))
	}
	s.writeResult(w, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request, key string) {
	err := s.Objects.Delete(context.WithoutCancel(r.Context()), key)
	if err == nil || errors.Is(err, infra.ErrOutcomeUnknown) {
		s.deleteCount.Add(1)
	}
	s.writeResult(w, err)
}

func (s *Server) writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		httpkit.Error(w, http.StatusNotFound, httpoutcome.CodeNotFound, "no such object")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		s.responsesLost.Add(1)
		httpkit.Drop()
	default:
		httpkit.Unavailable(w, err.Error())
	}
}
