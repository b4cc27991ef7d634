package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// fakeBatchAPI is a minimal fake of the callers' batch endpoints. It refuses the
// reuse of a job's idempotency key with another file ID. Each status request
// moves the job to its next status.
type fakeBatchAPI struct {
	mu          sync.Mutex
	files       []string
	jobs        map[string]*job   // by idempotency key
	next        map[string]string // status to next status
	unavailable int               // number of 503 responses still to send
	header      http.Header       // of the last create request
}

func newFakeBatchAPI(mux *http.ServeMux) *fakeBatchAPI {
	b := &fakeBatchAPI{jobs: map[string]*job{}, next: map[string]string{
		"validating": "in_progress", "in_progress": "completed", "cancelling": "cancelled"}}
	mux.HandleFunc("POST /v1/files", b.upload)
	mux.HandleFunc("POST /v1/batches", b.create)
	mux.HandleFunc("GET /v1/batches", b.list)
	mux.HandleFunc("GET /v1/batches/{id}", b.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", b.cancel)
	mux.HandleFunc("GET /v1/files/out/content", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{\"custom_id\":\"a\"}\n") })
	return b
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func writeError(w http.ResponseWriter, status int, code string) {
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":"refused","not_run":true}}`, code)
}

func (b *fakeBatchAPI) upload(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	file, _, err := r.FormFile("file")
	if err != nil || r.FormValue("purpose") != "batch" {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return
	}
	data, _ := io.ReadAll(file)
	b.files = append(b.files, string(data))
	writeJSON(w, map[string]string{"id": fmt.Sprintf("file-%d", len(b.files))})
}

func (b *fakeBatchAPI) create(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable > 0 {
		b.unavailable--
		writeError(w, http.StatusServiceUnavailable, "store_unavailable")
		return
	}
	b.header = r.Header
	j := &job{Status: "validating"}
	_ = json.NewDecoder(r.Body).Decode(j)
	key := r.Header.Get("Idempotency-Key")
	if old := b.jobs[key]; old != nil && old.InputFileID != j.InputFileID {
		writeError(w, http.StatusConflict, "key_reused")
		return
	}
	j.ID = fmt.Sprintf("job-%d", len(b.jobs)+1)
	b.jobs[key] = j
	writeJSON(w, j)
}

func (b *fakeBatchAPI) list(w http.ResponseWriter, _ *http.Request) {
	page := jobPage{}
	for _, j := range b.jobs {
		page.Data = append(page.Data, *j)
	}
	writeJSON(w, page)
}

func (b *fakeBatchAPI) find(w http.ResponseWriter, r *http.Request) *job {
	for _, j := range b.jobs {
		if j.ID == r.PathValue("id") {
			return j
		}
	}
	writeError(w, http.StatusNotFound, "not_found")
	return nil
}

func (b *fakeBatchAPI) get(w http.ResponseWriter, r *http.Request) {
	if j := b.find(w, r); j != nil {
		writeJSON(w, j)
		if next, ok := b.next[j.Status]; ok {
			j.Status = next
		}
		if j.Status == "completed" {
			j.OutputFileID = "out"
		}
	}
}

func (b *fakeBatchAPI) cancel(w http.ResponseWriter, r *http.Request) {
	if j := b.find(w, r); j != nil {
		if !j.isFinal() {
			j.Status = "cancelling"
		}
		writeJSON(w, j)
	}
}

// Guards against a repeated command that creates a second job, and against
// requests without the idempotency key or the credentials.
func TestJobCreateIsIdempotent(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f, b := newFixture(t, mux), newFakeBatchAPI(mux)
	input := writeFile(t, "{\"custom_id\":\"a\"}\n")
	b.unavailable = 2
	g.Expect(f.run("job", "create", input, "-org", "tulaan")).To(gomega.Equal(exitOK), f.errors.String())
	first := f.out.String()
	g.Expect(first).To(gomega.MatchRegexp(`^job job-1\nidempotency key file-[0-9a-f]{32}\n`))
	g.Expect(b.header.Get("Authorization")).To(gomega.Equal("Bearer secret"))
	g.Expect(b.header.Get("OpenAI-Organization")).To(gomega.Equal("tulaan"))
	g.Expect(b.files).To(gomega.Equal([]string{"{\"custom_id\":\"a\"}\n"}))

	g.Expect(f.run("job", "create", input)).To(gomega.Equal(exitOK), f.errors.String())
	g.Expect(f.out.String()).To(gomega.Equal(first))
	g.Expect(b.jobs).To(gomega.HaveLen(1))

	g.Expect(f.run("job", "create", "-key", "k", input)).To(gomega.Equal(exitOK))
	other := writeFile(t, "{\"custom_id\":\"b\"}\n")
	g.Expect(f.run("job", "create", "-key", "k", other)).To(gomega.Equal(exitConflict))
	b.unavailable = 100
	g.Expect(f.run("job", "create", other)).To(gomega.Equal(exitUnavailable))
	g.Expect(f.run("job", "create", "absent")).To(gomega.Equal(exitFailed))
}

// Guards against a cancellation that is reported before the job has stopped,
// and against results that are offered before they exist.
func TestJobLifecycle(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f, b := newFixture(t, mux), newFakeBatchAPI(mux)
	input := writeFile(t, "{}\n")
	g.Expect(f.run("job", "create", input)).To(gomega.Equal(exitOK))
	g.Expect(f.run("job", "results", "job-1")).To(gomega.Equal(exitRefused))
	g.Expect(f.run("job", "status", "-watch", "job-1")).To(gomega.Equal(exitOK))
	g.Expect(f.out.String()).To(gomega.MatchRegexp(`in_progress(?s).*completed, 0 of 0`))
	out := filepath.Join(t.TempDir(), "results")
	g.Expect(f.run("job", "results", "-out", out, "job-1")).To(gomega.Equal(exitOK))
	data, err := os.ReadFile(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.run("job", "results", "job-1")).To(gomega.Equal(exitOK))
	g.Expect(f.out.String()).To(gomega.Equal(string(data)))
	g.Expect(f.run("job", "cancel", "job-1")).To(gomega.Equal(exitRefused))

	g.Expect(f.run("job", "create", "-key", "two", input)).To(gomega.Equal(exitOK))
	g.Expect(f.run("job", "cancel", "job-2")).To(gomega.Equal(exitOK))
	g.Expect(b.jobs["two"].Status).To(gomega.Equal("cancelled"))
	g.Expect(f.run("job", "status", "-watch", "job-2")).To(gomega.Equal(exitFailed))
	g.Expect(f.run("job", "status", "job-9")).To(gomega.Equal(exitRefused))
	g.Expect(f.run("job", "list")).To(gomega.Equal(exitOK))
	g.Expect(f.out.String()).To(gomega.ContainSubstring("cancelled"))
}
