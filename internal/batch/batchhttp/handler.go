package batchhttp

import (
	"net/http"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/core"
)

// Params holds the dependencies of a Handler.
type Params struct {
	Intake  *intake.Intake
	Results *results.Reader
	// Authenticate returns the organisation of the caller.
	Authenticate func(*http.Request) (core.Org, *core.Refusal)
	// WriteRefusal writes a refusal as the HTTP response.
	WriteRefusal func(http.ResponseWriter, *core.Refusal)
}

// maxUploads bounds the concurrent uploads on a node. Each needs about 18 MB
// including garbage, and the whole process has 128 MB.
const maxUploads = 3

// Handler serves the HTTP endpoints for files and batches.
type Handler struct {
	p           Params
	uploadSlots chan struct{} // semaphore of maxUploads
}

// New returns a Handler without registered routes.
func New(p Params) *Handler { return &Handler{p: p, uploadSlots: make(chan struct{}, maxUploads)} }

// Register adds the routes to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	h.route(mux, "POST /v1/files", h.uploadFile)
	h.route(mux, "GET /v1/files/{id}", h.getFile)
	h.route(mux, "GET /v1/files/{id}/content", h.getContent)
	h.route(mux, "POST /v1/batches", h.createBatch)
	h.route(mux, "GET /v1/batches", h.listBatches)
	h.route(mux, "GET /v1/batches/{id}", h.getBatch)
	h.route(mux, "POST /v1/batches/{id}/cancel", h.cancelBatch)
}

type handlerFunc func(http.ResponseWriter, *http.Request, core.Org) *core.Refusal

func (h *Handler) route(mux *http.ServeMux, pattern string, f handlerFunc) {
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
