package weights

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/bench/standin/ratelimit"
	"gentiantide.example/gentiantide/internal/infra/httpoutcome"
	"gentiantide.example/gentiantide/internal/infra/httpweights"
)

const (
	// chunkSize is the number of bytes sent between two waits for the rate limit.
	chunkSize = 64 << 10
	// burst is the time for which an idle store accumulates unused capacity.
	burst = 50 * time.Millisecond
)

// Server is the weight store. It implements http.Handler.
type Server struct {
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]

	params Params
	mux    *http.ServeMux
	bucket *ratelimit.Bucket

	streams, completed, bytes atomic.Int64
}

// New returns a weight store.
func New(p Params) *Server {
	s := &Server{params: p, mux: http.NewServeMux(), bucket: ratelimit.NewBucket(p.Rate, burst, math.MaxInt64)}
	s.Fault.Mount(s.mux)
	httpkit.MountHealthz(s.mux)
	s.mux.HandleFunc("GET /stat", s.requireModel(s.stat))
	s.mux.HandleFunc("GET /weights", s.requireModel(s.stream))
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		httpkit.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counts since the server started.
func (s *Server) Stats() Stats {
	return Stats{Streams: s.streams.Load(), Completed: s.completed.Load(), Bytes: s.bytes.Load()}
}

// requireModel wraps a handler: it applies the delay and outage of the fault plan
// and checks that the model exists.
func (s *Server) requireModel(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.Fault.Get()
		if !httpkit.Sleep(r.Context(), time.Duration(fault.Delay)) || fault.Down {
			httpkit.Unavailable(w, "weight store is unavailable")
			return
		}
		model, version := r.URL.Query().Get("model"), r.URL.Query().Get("version")
		if model == "" || version == "" {
			httpkit.BadRequest(w, "model and version are required")
			return
		}
		if len(s.params.Models) > 0 && !slices.Contains(s.params.Models, model+"@"+version) {
			httpkit.Error(w, http.StatusNotFound, httpoutcome.CodeNotFound, "no such model version")
			return
		}
		next(w, r)
	}
}

func (s *Server) stat(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, httpweights.Stat{Size: s.params.Size})
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	s.streams.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.params.Size, 10))
	buf := make([]byte, chunkSize)
	for sent := int64(0); sent < s.params.Size; {
		fault := s.Fault.Get()
		n := min(chunkSize, s.params.Size-sent)
		if fault.CutAfter > 0 {
			n = min(n, fault.CutAfter-sent)
		}
		if fault.Down || n <= 0 {
			httpkit.Drop()
		}
		if !s.bucket.Take(r.Context(), int(n)) {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		sent += n
		s.bytes.Add(n)
	}
	s.completed.Add(1)
}
