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
	// maxTransaction bounds the body of a transaction in bytes.
	maxTransaction = 4 << 20
	maxScan        = 10_000
)

// Server is the table service. It is an http.Handler.
type Server struct {
	// Table is the state served; tests may inspect it.
	Table *infratest.Table
	// Fault is the fault plan in force.
	Fault httpkit.Fault[Fault]

	mux          *http.ServeMux
	dice         *httpkit.Dice
	reads        *ratelimit.Bucket
	writes       *ratelimit.Bucket
	overCapacity atomic.Int64
	answersLost  atomic.Int64
}

// New returns a server with an empty table.
func New(p Params) *Server {
	s := &Server{
		Table:  infratest.NewTable(),
		mux:    http.NewServeMux(),
		dice:   httpkit.NewDice(p.Seed),
		reads:  ratelimit.NewBucket(p.ReadsPerSecond, burst, p.MaxWait),
		writes: ratelimit.NewBucket(p.WritesPerSecond, burst, p.MaxWait),
	}
	s.Table.Seed(p.Seed)
	s.Fault.OnSet = func(f Fault) { s.Table.Faults.SetFaultPlan(f.plan()) }
	s.Fault.Mount(s.mux)
	httpkit.Healthz(s.mux)
	s.mux.HandleFunc("GET /stats", s.stats)
	s.mux.HandleFunc("GET /v1/row", s.limit(s.reads, s.get))
	s.mux.HandleFunc("GET /v1/rows", s.limit(s.reads, s.scan))
	s.mux.HandleFunc("POST /v1/transactions", s.limit(s.writes, s.commit))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) limit(bucket *ratelimit.Bucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.dice.Hit(s.Fault.Get().DropBefore) {
			httpkit.Drop()
		}
		if !bucket.Take(r.Context(), 1) {
			s.overCapacity.Add(1)
			httpkit.Unavailable(w, "over capacity")
			return
		}
		next(w, r)
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	httpkit.WriteJSON(w, http.StatusOK, s.Stats())
}

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:        s.Table.Reads(),
		Commits:      s.Table.Commits(),
		RowsWritten:  s.Table.RowsWritten(),
		OverCapacity: s.overCapacity.Load(),
		AnswersLost:  s.answersLost.Load(),
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
		s.fail(w, err)
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
		s.fail(w, err)
		return
	}
	answer := httptable.Rows{Rows: make([]httptable.Row, len(rows))}
	for i, row := range rows {
		answer.Rows[i] = httptable.Row(row)
	}
	httpkit.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body httptable.Transaction
	if !httpkit.ReadJSON(w, r, maxTransaction, &body) {
		return
	}
	txn, problem := transaction(body)
	if problem != "" {
		httpkit.BadRequest(w, problem)
		return
	}
	// The service finishes a write that it accepted even if the caller leaves.
	versions, err := s.Table.Commit(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		s.fail(w, err)
		return
	}
	httpkit.WriteJSON(w, http.StatusOK, httptable.Versions{Versions: versions})
}

func transaction(body httptable.Transaction) (infra.Txn, string) {
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

func (s *Server) fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		httpkit.Error(w, http.StatusNotFound, httpoutcome.CodeNotFound, "no such row")
	case errors.Is(err, infra.ErrConflict):
		httpkit.Error(w, http.StatusConflict, httpoutcome.CodeConflict, "a condition does not hold")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		s.answersLost.Add(1)
		httpkit.Drop()
	default:
		httpkit.Unavailable(w, err.Error())
	}
}
