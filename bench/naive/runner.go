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

// maxJob bounds the input of a job in bytes.
const maxJob = 64 << 20

// Status is the answer of GET /batch.
type Status struct {
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
}

// runner runs the items of one job at a time.
type runner struct {
	send func(ctx context.Context, path string, body []byte) (*http.Response, error)

	mu        sync.Mutex
	cancel    context.CancelFunc
	ended     sync.WaitGroup
	completed atomic.Int64
	failed    atomic.Int64
}

type item struct {
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// start takes the lines of a batch file and runs them with the concurrency
// given in the query. It ends the job that ran before.
func (b *runner) start(w http.ResponseWriter, r *http.Request) {
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
	b.end()
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

func (b *runner) run(items []item, concurrency int) {
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
				b.one(ctx, items[i])
			}
		})
	}
}

func (b *runner) one(ctx context.Context, it item) {
	answer, err := b.send(ctx, it.URL, it.Body)
	if err != nil {
		b.failed.Add(1)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusOK {
		b.failed.Add(1)
		return
	}
	b.completed.Add(1)
}

func (b *runner) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{Completed: b.completed.Load(), Failed: b.failed.Load()})
}

func (b *runner) stop(w http.ResponseWriter, _ *http.Request) {
	b.end()
	w.WriteHeader(http.StatusNoContent)
}

// end cancels the job and waits until its items have ended.
func (b *runner) end() {
	b.mu.Lock()
	cancel := b.cancel
	b.cancel = nil
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	b.ended.Wait()
}
