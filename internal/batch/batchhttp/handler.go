package batchhttp

import (
	"net/http"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/core"
)

// Params is what a Handler is made of.
type Params struct {
	Intake  *intake.Intake
	Results *results.Reader
	// Authenticate returns the caller's organisation.
	Authenticate func(*http.Request) (core.Org, *core.Refusal)
	// WriteRefusal writes a refusal as the answer.
	WriteRefusal func(http.ResponseWriter, *core.Refusal)
}

// maxUploads bounds the uploads that a node takes at once. Each needs about
// 18 MB, garbage included, and a node has 128 MB for all it does.
const maxUploads = 3

// Handler serves files and batches.
type Handler struct {
	p       Params
	uploads chan struct{} // room for maxUploads
}

// New returns a Handler.
func New(p Params) *Handler { return &Handler{p: p, uploads: make(chan struct{}, maxUploads)} }

// Register adds the routes to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	h.route(mux, "POST /v1/files", h.upload)
	h.route(mux, "GET /v1/files/{id}", h.file)
	h.route(mux, "GET /v1/files/{id}/content", h.content)
	h.route(mux, "POST /v1/batches", h.create)
	h.route(mux, "GET /v1/batches", h.list)
	h.route(mux, "GET /v1/batches/{id}", h.get)
	h.route(mux, "POST /v1/batches/{id}/cancel", h.cancel)
}

type endpoint func(http.ResponseWriter, *http.Request, core.Org) *core.Refusal

func (h *Handler) route(mux *http.ServeMux, pattern string, f endpoint) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		org, refusal := h.p.Authenticate(r)
		if refusal == nil {
			refusal = f(w, r, org)
		}
		if refusal != nil {
			h.p.WriteRefusal(w, refusal)
		}
	})
}
