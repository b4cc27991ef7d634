package table

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
	"gentiantide.example/gentiantide/internal/infra/httptable"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

const (
	// maxTransaction is the maximum size of a transaction's body in bytes.
	maxTransaction = 4 << 20
	// maxScan is the maximum number of rows in the response to a scan.
	maxScan = 10_000
)

// Server serves the table over HTTP. It implements http.Handler.
type Server struct {
	// Table is the table behind the API. Tests may inspect it.
	Table *infratest.Table
	// Fault holds the current fault plan.
	Fault httpkit.FaultControl[Fault]

	mux           *http.ServeMux
	rnd           *httpkit.SeededRand
	reads         *ratelimit.Bucket
	writes        *ratelimit.Bucket
	overCapacity  atomic.Int64
	responsesLost atomic.Int64
}

// New returns a server with an empty table.
func New(p Params) *Server {
	s := &Server{
		Table:  infratest.NewTable(),
		mux:    http.NewServeMux(),
		rnd:    httpkit.NewSeededRand(p.Seed),
		reads:  ratelimit.NewBucket(p.ReadsPerSecond, burst, p.MaxWait),
		writes: ratelimit.NewBucket(p.WritesPerSecond, burst, p.MaxWait),
	}
	s.Table.Seed(p.Seed)
	s.Fault.OnSet = func(f Fault) { s.Table.Faults.SetFaultPlan(f.faultPlan()) }
	s.Fault.Mount(s.mux)
	httpkit.MountHealthz(s.mux)
	s.mux.HandleFunc("GET /stats", s.stats)
	s.mux.HandleFunc("GET /v1/row", s.limitRate(s.reads, s.get))
	s.mux.HandleFunc("GET /v1/rows", s.limitRate(s.reads, s.scan))
	s.mux.HandleFunc("POST /v1/transactions", s.limitRate(s.writes, s.commit))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// limitRate wraps a handler: it drops connections according to the fault plan
// and applies the rate limit of the bucket.
func (s *Server) limitRate(bucket *ratelimit.Bucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.rnd.Chance(s.Fault.Get().DropBefore) {
			httpkit.Drop()
		}
		if !bucket.Take(r.Context(), 1) {
			s.overCapacity.Add(1)
			httpkit.Unavailable(w, "rate limit exceeded")
			return
		}
		next(w, r)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the counts since the server started.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:         s.Table.Reads(),
		Commits:       s.Table.Commits(),
		RowsWritten:   s.Table.RowsWritten(),
		OverCapacity:  s.overCapacity.Load(),
		ResponsesLost: s.responsesLost.Load(),
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == "" {
		httpkit.BadRequest(w, "key is required")
		return
	}
	row, err := s.Table.Get(r.Context(), key)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpkit.WriteJSON(w, http.StatusOK, httptable.Row(row))
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxScan {
		httpkit.BadRequest(w, "limit must be from 1 to "+strconv.Itoa(maxScan))
		return
	}
	rows, err := s.Table.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		s.writeError(w, err)
		return
	}
	response := httptable.Rows{Rows: make([]httptable.Row, len(rows))}
	for i, row := range rows {
		response.Rows[i] = httptable.Row(row)
	}
	httpkit.WriteJSON(w, http.StatusOK, response)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body httptable.Transaction
	if !httpkit.ReadJSON(w, r, maxTransaction, &body) {
		return
	}
	txn, reason := parseTransaction(body)
	if reason != "" {
		httpkit.BadRequest(w, reason)
		return
	}
	// As in the real service, a write that was accepted takes effect even if the
	// caller closes the connection.
	versions, err := s.Table.Commit(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpkit.WriteJSON(w, http.StatusOK, httptable.Versions{Versions: versions})
}

// parseTransaction converts the body of a transaction. The second result is the
// reason why the body is invalid, or empty.
func parseTransaction(body httptable.Transaction) (infra.Txn, string) {
	txn := infra.Txn{}
	for _, c := range body.Conditions {
		if c.Key == "" {
			return txn, "a condition has no key"
		}
		txn.Conditions = append(txn.Conditions, infra.Condition(c))
	}
	for _, write := range body.Writes {
		if write.Key == "" {
			return txn, "a write has no key"
		}
		txn.Writes = append(txn.Writes, infra.Write(write))
	}
	return txn, ""
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		httpkit.Error(w, http.StatusNotFound, httpoutcome.CodeNotFound, "no such row")
	case errors.Is(err, infra.ErrConflict):
		httpkit.Error(w, http.StatusConflict, httpoutcome.CodeConflict, "a condition of the transaction does not hold")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		s.responsesLost.Add(1)
		httpkit.Drop()
	default:
		httpkit.Unavailable(w, err.Error())
	}
}
