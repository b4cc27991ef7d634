package batchhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/core"
)

// File is the file object of the API.
type File struct {
	ID        core.FileID `json:"id"`
	Object    string      `json:"object"`
	Bytes     *int64      `json:"bytes,omitempty"` // absent for output and errors files
	CreatedAt int64       `json:"created_at"`
	Filename  string      `json:"filename"`
	Purpose   string      `json:"purpose"`
	Status    string      `json:"status"`
}

func fileObject(m *records.Manifest) File {
	return File{ID: m.ID, Object: "file", Bytes: &m.Bytes, CreatedAt: m.Uploaded.Unix(), Filename: m.Name, Purpose: m.Purpose, Status: "processed"}
}

const purposeBatch = "batch"

// uploadFile accepts a file from a multipart form with the fields "purpose" and
// "file" in any order.
func (h *Handler) uploadFile(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	select {
	case h.uploadSlots <- struct{}{}:
		defer func() { <-h.uploadSlots }()
	default:
		refusal := core.Refuse(core.CodeOverloaded, "too many concurrent uploads on this node")
		refusal.RetryAfter = time.Second
		return refusal
	}
	reader, err := r.MultipartReader()
	if err != nil {
		return core.Refuse(core.CodeInvalidRequest, "expected a multipart form with the fields purpose and file")
	}
	up, purpose, refusal := h.readForm(r, org, reader)
	if refusal != nil {
		return refusal
	}
	if up == nil || purpose != purposeBatch {
		return core.Refuse(core.CodeInvalidRequest, "the form must have a field file and a field purpose with the value \"batch\"")
	}
	m, refusal := up.Accept(r.Context(), purpose)
	if refusal != nil {
		return refusal
	}
	return writeJSON(w, fileObject(&m))
}

func (h *Handler) readForm(r *http.Request, org core.Org, reader *multipart.Reader) (up *intake.Upload, purpose string, refusal *core.Refusal) {
	for {
		part, err := reader.NextPart()
		if errors.Is(err, io.EOF) {
			return up, purpose, nil
		}
		if err != nil {
			return nil, "", core.Refuse(core.CodeInvalidRequest, "the upload ended early: "+err.Error())
		}
		switch part.FormName() {
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, 64))
			if err != nil {
				return nil, "", core.Refuse(core.CodeInvalidRequest, "the upload ended early: "+err.Error())
			}
			purpose = string(value)
		case "file":
			if up != nil {
				return nil, "", core.Refuse(core.CodeInvalidRequest, "the form has more than one file")
			}
			up, refusal = h.p.Intake.Receive(r.Context(), org, r.Header.Get("Idempotency-Key"), part.FileName(), part)
			if refusal != nil {
				return nil, "", refusal
			}
		}
	}
}

func (h *Handler) getFile(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	id := r.PathValue("id")
	if job, _, ok := parseResultFileID(id); ok {
		return h.getResultFile(w, r, org, core.FileID(id), job)
	}
	m, refusal := h.p.Intake.File(r.Context(), org, core.FileID(id))
	if refusal != nil {
		return refusal
	}
	return writeJSON(w, fileObject(&m))
}

func (h *Handler) getResultFile(w http.ResponseWriter, r *http.Request, org core.Org, id core.FileID, jobID core.JobID) *core.Refusal {
	job, refusal := h.readableJob(r, org, jobID)
	if refusal != nil {
		return refusal
	}
	return writeJSON(w, File{
		ID: id, Object: "file", CreatedAt: job.Created.Unix(), Filename: string(id) + ".jsonl",
		Purpose: "batch_output", Status: "processed",
	})
}

// parseResultFileID returns the job and the selection of lines for the id of an
// output or errors file. The last result is false for other ids.
func parseResultFileID(id string) (core.JobID, results.Selection, bool) {
	if job, ok := strings.CutPrefix(id, records.OutputFileIDPrefix); ok {
		return core.JobID(job), results.All, true
	}
	if job, ok := strings.CutPrefix(id, records.ErrorsFileIDPrefix); ok {
		return core.JobID(job), results.Failures, true
	}
	return "", results.All, false
}

// getContent streams the content of an input file, or the results of a job that are
// committed so far.
func (h *Handler) getContent(w http.ResponseWriter, r *http.Request, org core.Org) *core.Refusal {
	id := r.PathValue("id")
	jobID, sel, ok := parseResultFileID(id)
	if !ok {
		m, refusal := h.p.Intake.File(r.Context(), org, core.FileID(id))
		if refusal != nil {
			return refusal
		}
		return h.stream(w, r, func(ctx context.Context, out io.Writer) error { return h.p.Results.WriteInput(ctx, &m, out) })
	}
	job, refusal := h.readableJob(r, org, jobID)
	if refusal != nil {
		return refusal
	}
	return h.stream(w, r, func(ctx context.Context, out io.Writer) error { return h.p.Results.Write(ctx, &job, sel, out) })
}

// readableJob returns a job, or a refusal if its results have been deleted.
func (h *Handler) readableJob(r *http.Request, org core.Org, id core.JobID) (records.Job, *core.Refusal) {
	job, _, refusal := h.p.Intake.Job(r.Context(), org, id)
	if refusal == nil && job.State == records.JobExpired {
		refusal = core.Refuse(core.CodeNotFound, "the results of batch "+string(id)+" were deleted at the end of their retention period")
	}
	return job, refusal
}

// stream writes the content that write produces. If write fails after the first
// byte, stream aborts the connection, so that the caller does not take partial
// content for complete.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, write func(context.Context, io.Writer) error) *core.Refusal {
	w.Header().Set("Content-Type", "application/jsonl")
	out := &countingWriter{w: w}
	err := write(r.Context(), out)
	if err == nil {
		return nil
	}
	if out.n > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Del("Content-Type")
	return core.Refuse(core.CodeStoreUnavailable, "the file content cannot be read at present")
}

type countingWriter struct {
	w io.Writer
	n int64
}

// Write writes p to the underlying writer and counts the bytes.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}

func writeJSON(w http.ResponseWriter, v any) *core.Refusal {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
	return nil
}
