package batchhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// Counts is the field request_counts of a batch object.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Batch is the batch object of the API. Times are in seconds since the Unix epoch.
type Batch struct {
	ID               core.JobID        `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      core.FileID       `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      *int64            `json:"completed_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    Counts            `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject returns the batch object of a job that has done committed results, of
// which failed are failures. The status is "finalizing" if all items have results
// but the job row is still in progress.
func batchObject(job *records.Job, done, failed int) Batch {
	b := Batch{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.File,
		CompletionWindow: job.Window, Status: string(job.State),
		CreatedAt: job.Created.Unix(), InProgressAt: job.Created.Unix(), ExpiresAt: job.Due.Unix(),
		CancellingAt: unixSeconds(job.CancellingAt), RequestCounts: Counts{Total: job.Items, Completed: done - failed, Failed: failed},
		Metadata: job.Metadata,
	}
	if b.CompletionWindow == "" {
		b.CompletionWindow = job.Due.Sub(job.Created).String()
	}
	switch job.State {
	case records.JobInProgress:
		if done >= job.Items {
			b.Status = "finalizing"
		}
		return b
	case records.JobCancelling, records.JobExpired: // the results cannot be read
		return b
	case records.JobCompleted:
		b.CompletedAt = unixSeconds(job.EndedAt)
	case records.JobCancelled:
		b.CancelledAt = unixSeconds(job.EndedAt)
	}
	b.OutputFileID = stringPtr(records.OutputFileIDPrefix + string(job.ID))
	if failed > 0 {
		b.ErrorFileID = stringPtr(records.ErrorsFileIDPrefix + string(job.ID))
	}
	return b
}

func unixSeconds(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	s := t.Unix()
	return &s
}

func stringPtr(s string) *string { return &s }

// createRequest is the body of POST /v1/batches.
type createRequest struct {
	InputFileID      core.FileID       `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// maxCreateBytes bounds the body of POST /v1/batches.
const maxCreateBytes = 64 << 10

func (h *Handler) createBatch(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	var body createRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBytes))
	if err := decoder.Decode(&body); err != nil {
		return core.Refuse(core.CodeInvalidRequest, "the request body cannot be decoded: "+err.Error())
	}
	if body.InputFileID == "" || body.Endpoint == "" {
		return core.Refuse(core.CodeInvalidRequest, "input_file_id and endpoint are required")
	}
	job, refusal := h.p.Intake.Create(r.Context(), intake.Request{
		Org: org, IdempotencyKey: r.Header.Get("Idempotency-Key"), File: body.InputFileID,
		Endpoint: body.Endpoint, Window: body.CompletionWindow, Metadata: body.Metadata,
	})
	if refusal != nil {
		return refusal
	}
	return h.writeBatch(w, r, &job)
}

// writeBatch writes the batch object of a job. If the progress cannot be read, it
// still writes the object, with counts of 0, since the acceptance or cancellation
// of the job is confirmed.
func (h *Handler) writeBatch(w http.ResponseWriter, r *http.Request, job *records.Job) *core.Refusal {
	done, failed, _ := h.p.Intake.Progress(r.Context(), job)
	return writeJSON(w, batchObject(job, done, failed))
}

func (h *Handler) getBatch(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	job, _, refusal := h.p.Intake.Job(r.Context(), org, core.JobID(r.PathValue("id")))
	if refusal != nil {
		return refusal
	}
	done, failed, refusal := h.p.Intake.Progress(r.Context(), &job)
	if refusal != nil {
		return refusal
	}
	return writeJSON(w, batchObject(&job, done, failed))
}

func (h *Handler) cancelBatch(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	job, refusal := h.p.Intake.Cancel(r.Context(), org, core.JobID(r.PathValue("id")))
	if refusal != nil {
		return refusal
	}
	if job.State == records.JobCompleted {
		return core.Refuse(core.CodeConflict, "the batch is completed and cannot be cancelled")
	}
	return h.writeBatch(w, r, &job)
}

// listBatches writes the jobs of the organisation in the order of their ids.
func (h *Handler) listBatches(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	const defaultLimit, maxLimit = 20, 100
	limit := defaultLimit
	if v := r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxLimit {
			return core.Refuse(core.CodeInvalidRequest, "limit is "+v+", expected 1 to "+strconv.Itoa(maxLimit))
		}
		limit = n
	}
	jobs, more, refusal := h.p.Intake.List(r.Context(), org, core.JobID(r.URL.Query().Get("after")), limit)
	if refusal != nil {
		return refusal
	}
	out := batchList{Object: "list", Data: make([]Batch, 0, len(jobs)), HasMore: more}
	for i := range jobs {
		done, failed, refusal := h.p.Intake.Progress(r.Context(), &jobs[i])
		if refusal != nil {
			return refusal
		}
		out.Data = append(out.Data, batchObject(&jobs[i], done, failed))
	}
	if len(out.Data) > 0 {
		out.FirstID, out.LastID = &out.Data[0].ID, &out.Data[len(out.Data)-1].ID
	}
	return writeJSON(w, out)
}

type batchList struct {
	Object  string      `json:"object"`
	Data    []Batch     `json:"data"`
	FirstID *core.JobID `json:"first_id"`
	LastID  *core.JobID `json:"last_id"`
	HasMore bool        `json:"has_more"`
}
