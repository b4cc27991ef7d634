package retention

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/results"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// testRetention holds the retentions that the tests use.
var testRetention = settings.Retention{Intents: 24 * time.Hour, Jobs: 48 * time.Hour, Files: 72 * time.Hour, SettingsLog: 96 * time.Hour}

// Views of a node that owns all prefixes and of one that owns none.
var (
	viewSelf  = membership.NewView("self", []membership.Member{{ID: "self", State: membership.StateLive}})
	viewOther = membership.NewView("self", []membership.Member{{ID: "other", State: membership.StateLive}})
)

// gate blocks the calls of a paused owner after a given number of calls. Blocked
// calls reach the platform when the owner resumes.
type gate struct {
	mu     sync.Mutex
	after  int // number of calls until they block
	paused chan struct{}
}

func (g *gate) pause(after int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.after, g.paused = after, make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (o *owner) wait(ctx context.Context) context.Context {
	if hook := o.hook; hook != nil {
		o.hook = nil // the hook may make calls itself
		hook()
		o.hook = hook
	}
	o.gate.wait()
	return context.WithoutCancel(ctx)
}

func (g *gate) wait() {
	g.mu.Lock()
	ch := g.paused
	if g.after > 0 {
		g.after--
		ch = nil
	}
	g.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// owner is a node that sweeps all prefixes. Its calls to the platform pass
// through its gate.
type owner struct {
	*gate
	h       *harness
	service *Service
	owns    atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
	hook    func() // runs before each call, if set
}

type gatedTable struct{ *owner }

func (t gatedTable) Get(ctx context.Context, key string) (infra.Row, error) {
	return t.h.table.Get(t.wait(ctx), key)
}

func (t gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	return t.h.table.Scan(t.wait(ctx), prefix, after, limit)
}

func (t gatedTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	return t.h.table.Commit(t.wait(ctx), txn)
}

type gatedObjects struct{ *owner }

func (o gatedObjects) Put(ctx context.Context, key string, data []byte) error {
	return o.h.objects.Put(o.wait(ctx), key, data)
}

func (o gatedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.h.objects.Get(o.wait(ctx), key)
}

func (o gatedObjects) Delete(ctx context.Context, key string) error {
	return o.h.objects.Delete(o.wait(ctx), key)
}

// recordingObjects records the keys that were written.
type recordingObjects struct {
	*infratest.Objects
	mu   sync.Mutex
	keys []string
}

func (o *recordingObjects) Put(ctx context.Context, key string, data []byte) error {
	o.mu.Lock()
	o.keys = append(o.keys, key)
	o.mu.Unlock()
	return o.Objects.Put(ctx, key, data)
}

func (o *recordingObjects) remaining() []string {
	var out []string
	for _, key := range o.keys {
		if _, err := o.Get(context.Background(), key); err == nil {
			out = append(out, key)
		}
	}
	return out
}

// harness holds a platform, two owners of all prefixes and a model of what
// callers were told.
type harness struct {
	table   *infratest.Table
	objects *recordingObjects
	st      *store.Store
	in      *intake.Intake
	reader  *results.Reader
	intents *intent.Store
	callers *owner // makes the callers' calls; it sweeps nothing
	owners  []*owner
	calls   map[string]*call
	files   map[core.FileID]*fileModel
	jobs    map[string]*jobModel // by idempotency key
	lastID  int                  // counter for unique results and attempt ids
}

func newHarness() *harness {
	h := &harness{
		table: infratest.NewTable(), objects: &recordingObjects{Objects: infratest.NewObjects()},
		calls: make(map[string]*call), files: make(map[core.FileID]*fileModel), jobs: make(map[string]*jobModel),
	}
	h.table.Seed(1)
	h.objects.Seed(2)
	cfg := batch.DefaultConfig()
	cfg.RangeSizes = []int{2}
	cfg.AcceptTimeout = time.Hour // longer than a sweep in the middle of a request
	h.callers = &owner{gate: &gate{}, h: h}
	h.st = store.New(gatedTable{h.callers}, gatedObjects{h.callers}, cfg)
	h.in = intake.New(intake.Params{Store: h.st, Config: cfg, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Notify: func(core.JobID) {}})
	h.reader = results.NewReader(h.st)
	h.intents = intent.New(intent.Config{Table: gatedTable{h.callers}, NewID: func() string { h.lastID++; return fmt.Sprint(h.lastID) }})
	for i := range 2 {
		o := &owner{gate: &gate{}, h: h}
		o.owns.Store(true)
		o.service = o.newService(time.Duration(1-2*i) * 9 * time.Minute)
		h.owners = append(h.owners, o)
	}
	return h
}

// newService returns a service whose clock is off by skew.
func (o *owner) newService(skew time.Duration) *Service {
	snapshot := settings.NewSnapshot(settings.SnapshotInput{Version: 1, Retention: testRetention})
	return NewService(Options{
		Config: Config{
			PageRows: 3, PageDelay: time.Minute, SweepDelay: 6 * time.Hour, ErrorDelay: time.Minute, OwnerCheckInterval: 6 * time.Hour,
			CallTimeout: 5 * time.Second, MaxAttempts: 3, DeleteBatchRows: 2, TableRate: 15, ObjectRate: 30,
		},
		Table: gatedTable{o}, Objects: gatedObjects{o},
		Members: func() *membership.View {
			if o.owns.Load() {
				return viewSelf
			}
			return viewOther
		},
		Settings: func() *settings.Snapshot { return snapshot },
		Now:      func() time.Time { return time.Now().Add(skew) },
	})
}

// start runs the service in the background.
func (o *owner) start() {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel, o.done = cancel, make(chan struct{})
	go func() { defer close(o.done); o.service.Run(ctx) }()
}

// sweep sweeps all prefixes once.
func (o *owner) sweep() {
	for _, s := range o.service.sweepers {
		for s.step(ctx); s.currentCursor() != ""; {
			s.step(ctx)
		}
	}
}

func (h *harness) stop() {
	for _, o := range h.owners {
		if o.cancel != nil {
			o.cancel()
			o.resume()
			<-o.done
		}
	}
	h.intents.Close()
}

func (h *harness) clearFaults() {
	h.table.SetFaultPlan(infratest.FaultPlan{})
	h.objects.SetFaultPlan(infratest.FaultPlan{})
}

// requirePlatform skips an action that needs the platform while it is down.
func (h *harness) requirePlatform(t *rapid.T) {
	if h.table.Plan().Down || h.objects.Plan().Down {
		t.Skip("the platform is down")
	}
}

func (h *harness) readInput(m *records.Manifest) (string, error) {
	var out bytes.Buffer
	err := h.reader.WriteInput(context.Background(), m, &out)
	return out.String(), err
}

func (h *harness) readResults(job *records.Job) (string, error) {
	var out bytes.Buffer
	err := h.reader.Write(context.Background(), job, results.All, &out)
	return out.String(), err
}

func input(lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, `{"custom_id":"%d","method":"POST","url":"/v1/x","body":{}}`+"\n", i)
	}
	return b.String()
}

func reader(s string) io.Reader { return strings.NewReader(s) }
