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

// batches is a minimal stand-in for the callers' batch endpoints. A job's key
// with another file id is refused; each look at a job moves it on.
type batches struct {
	mu     sync.Mutex
	files  []string
	jobs   map[string]*job // by idempotency key
	next   map[string]string
	busy   int // answers of 503 to come
	header http.Header
}

func newBatches(mux *http.ServeMux) *batches {
	b := &batches{jobs: map[string]*job{}, next: map[string]string{
		"validating": "in_progress", "in_progress": "completed", "cancelling": "cancelled"}}
	mux.HandleFunc("POST /v1/files", b.upload)
	mux.HandleFunc("POST /v1/batches", b.create)
	mux.HandleFunc("GET /v1/batches", b.list)
	mux.HandleFunc("GET /v1/batches/{id}", b.get)
	mux.HandleFunc("POST /v1/batches/{id}/cancel", b.cancel)
	mux.HandleFunc("GET /v1/files/out/content", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{\"custom_id\":\"a\"}\n") })
	return b
}

func answer(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func refuse(w http.ResponseWriter, status int, code string) {
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":"refused","not_run":true}}`, code)
}

func (b *batches) upload(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	file, _, err := r.FormFile("file")
	if err != nil || r.FormValue("purpose") != "batch" {
		refuse(w, http.StatusBadRequest, "invalid_request")
		return
	}
	data, _ := io.ReadAll(file)
	b.files = append(b.files, string(data))
	answer(w, map[string]string{"id": fmt.Sprintf("file-%d", len(b.files))})
}

func (b *batches) create(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy > 0 {
		b.busy--
		refuse(w, http.StatusServiceUnavailable, "store_unavailable")
		return
	}
	b.header = r.Header
	j := &job{Status: "validating"}
	_ = json.NewDecoder(r.Body).Decode(j)
	key := r.Header.Get("Idempotency-Key")
	if old := b.jobs[key]; old != nil && old.InputFileID != j.InputFileID {
		refuse(w, http.StatusConflict, "key_reused")
		return
	}
	j.ID = fmt.Sprintf("job-%d", len(b.jobs)+1)
	b.jobs[key] = j
	answer(w, j)
}

func (b *batches) list(w http.ResponseWriter, _ *http.Request) {
	page := jobPage{}
	for _, j := range b.jobs {
		page.Data = append(page.Data, *j)
	}
	answer(w, page)
}

func (b *batches) find(w http.ResponseWriter, r *http.Request) *job {
	for _, j := range b.jobs {
		if j.ID == r.PathValue("id") {
			return j
		}
	}
	refuse(w, http.StatusNotFound, "not_found")
	return nil
}

func (b *batches) get(w http.ResponseWriter, r *http.Request) {
	if j := b.find(w, r); j != nil {
		answer(w, j)
		if next, ok := b.next[j.Status]; ok {
			j.Status = next
		}
		if j.Status == "completed" {
			j.OutputFileID = "out"
		}
	}
}

func (b *batches) cancel(w http.ResponseWriter, r *http.Request) {
	if j := b.find(w, r); j != nil {
		if !j.ended() {
			j.Status = "cancelling"
		}
		answer(w, j)
	}
}

// Guards against a repeated command that creates a second job, and against a
// lost key or credentials.
func TestJobCreateIsRepeatable(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f, b := newFixture(t, mux), newBatches(mux)
	input := writeFile(t, "{\"custom_id\":\"a\"}\n")
	b.busy = 2
	g.Expect(f.run("job", "create", input, "-org", "tulaan")).To(gomega.Equal(exitDone), f.errors.String())
	first := f.out.String()
	g.Expect(first).To(gomega.MatchRegexp(`^job job-1\nidempotency key file-[0-9a-f]{32}\n`))
	g.Expect(b.header.Get("Authorization")).To(gomega.Equal("Bearer secret"))
	g.Expect(b.header.Get("OpenAI-Organization")).To(gomega.Equal("tulaan"))
	g.Expect(b.files).To(gomega.Equal([]string{"{\"custom_id\":\"a\"}\n"}))

	g.Expect(f.run("job", "create", input)).To(gomega.Equal(exitDone), f.errors.String())
	g.Expect(f.out.String()).To(gomega.Equal(first))
	g.Expect(b.jobs).To(gomega.HaveLen(1))

	g.Expect(f.run("job", "create", "-key", "k", input)).To(gomega.Equal(exitDone))
	other := writeFile(t, "{\"custom_id\":\"b\"}\n")
	g.Expect(f.run("job", "create", "-key", "k", other)).To(gomega.Equal(exitConflict))
	b.busy = 100
	g.Expect(f.run("job", "create", other)).To(gomega.Equal(exitUnavailable))
	g.Expect(f.run("job", "create", "absent")).To(gomega.Equal(exitFailed))
}

// Guards against a cancellation that is reported before the job has stopped,
// and against results that are reported without being there.
func TestJobLife(t *testing.T) {
	g := gomega.NewWithT(t)
	mux := http.NewServeMux()
	f, b := newFixture(t, mux), newBatches(mux)
	input := writeFile(t, "{}\n")
	g.Expect(f.run("job", "create", input)).To(gomega.Equal(exitDone))
	g.Expect(f.run("job", "results", "job-1")).To(gomega.Equal(exitRefused))
	g.Expect(f.run("job", "status", "-watch", "job-1")).To(gomega.Equal(exitDone))
	g.Expect(f.out.String()).To(gomega.MatchRegexp(`in_progress(?s).*completed, 0 of 0`))
	out := filepath.Join(t.TempDir(), "results")
	g.Expect(f.run("job", "results", "-out", out, "job-1")).To(gomega.Equal(exitDone))
	data, err := os.ReadFile(out)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.run("job", "results", "job-1")).To(gomega.Equal(exitDone))
	g.Expect(f.out.String()).To(gomega.Equal(string(data)))
	g.Expect(f.run("job", "cancel", "job-1")).To(gomega.Equal(exitRefused))

	g.Expect(f.run("job", "create", "-key", "two", input)).To(gomega.Equal(exitDone))
	g.Expect(f.run("job", "cancel", "job-2")).To(gomega.Equal(exitDone))
	g.Expect(b.jobs["two"].Status).To(gomega.Equal("cancelled"))
	g.Expect(f.run("job", "status", "-watch", "job-2")).To(gomega.Equal(exitFailed))
	g.Expect(f.run("job", "status", "job-9")).To(gomega.Equal(exitRefused))
	g.Expect(f.run("job", "list")).To(gomega.Equal(exitDone))
	g.Expect(f.out.String()).To(gomega.ContainSubstring("cancelled"))
}
