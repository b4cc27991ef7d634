package naive

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

// maxJob is the maximum size of a job's input in bytes.
const maxJob = 64 << 20

// Status is the response body of GET /batch. It counts the items sent since the
// proxy started.
type Status struct {
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
}

// batchRunner sends the items of one job at a time.
type batchRunner struct {
	send func(ctx context.Context, path string, body []byte) (*http.Response, error)

	mu        sync.Mutex
	cancel    context.CancelFunc
	ended     sync.WaitGroup
	completed atomic.Int64
	failed    atomic.Int64
}

// item is the part of a line of a batch file that the runner uses.
type item struct {
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// start handles POST /batch. It reads the lines of a batch file, cancels the
// previous job and runs the items with the concurrency given in the query.
func (b *batchRunner) start(w http.ResponseWriter, r *http.Request) {
	concurrency, err := strconv.Atoi(r.URL.Query().Get("concurrency"))
	if err != nil || concurrency < 1 {
		http.Error(w, "concurrency must be a positive number", http.StatusBadRequest)
		return
	}
	items, err := readItems(http.MaxBytesReader(w, r.Body, maxJob))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.cancelAndWait()
	b.run(items, concurrency)
	w.WriteHeader(http.StatusAccepted)
}

func readItems(from io.Reader) ([]item, error) {
	data, err := io.ReadAll(from)
	if err != nil {
		return nil, err
	}
	var items []item
	for line := range bytes.Lines(data) {
		var it item
		if err := json.Unmarshal(line, &it); err != nil {
			return nil, err
		}
		items = append(items, it)
	}
	return items, nil
}

// run starts the goroutines that send the items, and returns.
func (b *batchRunner) run(items []item, concurrency int) {
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancel = cancel
	var next atomic.Int64
	for range concurrency {
		b.ended.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(items) || ctx.Err() != nil {
					return
				}
				b.sendItem(ctx, items[i])
			}
		})
	}
}

// sendItem sends one item and counts its outcome.
func (b *batchRunner) sendItem(ctx context.Context, it item) {
	response, err := b.send(ctx, it.URL, it.Body)
	if err != nil {
		b.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.failed.Add(1)
		return
	}
	b.completed.Add(1)
}

// status handles GET /batch.
func (b *batchRunner) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{Completed: b.completed.Load(), Failed: b.failed.Load()})
}

// stop handles DELETE /batch.
func (b *batchRunner) stop(w http.ResponseWriter, _ *http.Request) {
	b.cancelAndWait()
	w.WriteHeader(http.StatusNoContent)
}

// cancelAndWait cancels the job and waits until its items have ended.
func (b *batchRunner) cancelAndWait() {
	b.mu.Lock()
	cancel := b.cancel
	b.cancel = nil
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	b.ended.Wait()
}
