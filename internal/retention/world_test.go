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

// keep are the retentions of the tests.
var keep = settings.Retention{Intents: 24 * time.Hour, Jobs: 48 * time.Hour, Files: 72 * time.Hour, SettingsLog: 96 * time.Hour}

// Views of a node that owns all prefixes and of one that owns none.
var (
	viewSelf  = membership.NewView("self", []membership.Member{{ID: "self", State: membership.StateLive}})
	viewOther = membership.NewView("self", []membership.Member{{ID: "other", State: membership.StateLive}})
)

// gate blocks the calls of a paused owner after a number of calls; they reach
// the platform when it resumes.
type gate struct {
	mu     sync.Mutex
	after  int // calls until the pause
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

// owner is one node that sweeps. Its calls to the platform pass its gate.
type owner struct {
	*gate
	w       *world
	service *Service
	owns    atomic.Bool
	cancel  context.CancelFunc
	done    chan struct{}
	hook    func() // runs before each call, if set
}

type gatedTable struct{ *owner }

func (t gatedTable) Get(ctx context.Context, key string) (infra.Row, error) {
	return t.w.table.Get(t.wait(ctx), key)
}

func (t gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	return t.w.table.Scan(t.wait(ctx), prefix, after, limit)
}

func (t gatedTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	return t.w.table.Commit(t.wait(ctx), txn)
}

type gatedObjects struct{ *owner }

func (o gatedObjects) Put(ctx context.Context, key string, data []byte) error {
	return o.w.objects.Put(o.wait(ctx), key, data)
}

func (o gatedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.w.objects.Get(o.wait(ctx), key)
}

func (o gatedObjects) Delete(ctx context.Context, key string) error {
	return o.w.objects.Delete(o.wait(ctx), key)
}

// notedObjects remembers the keys that were written.
type notedObjects struct {
	*infratest.Objects
	mu   sync.Mutex
	keys []string
}

func (o *notedObjects) Put(ctx context.Context, key string, data []byte) error {
	o.mu.Lock()
	o.keys = append(o.keys, key)
	o.mu.Unlock()
	return o.Objects.Put(ctx, key, data)
}

func (o *notedObjects) left() []string {
	var out []string
	for _, key := range o.keys {
		if _, err := o.Get(context.Background(), key); err == nil {
			out = append(out, key)
		}
	}
	return out
}

// world is a platform with two owners of all prefixes and what the callers of
// the system believe.
type world struct {
	table    *infratest.Table
	objects  *notedObjects
	st       *store.Store
	in       *intake.Intake
	reader   *results.Reader
	intents  *intent.Store
	callers  *owner // the gate of the callers' calls
	owners   []*owner
	calls    map[string]*call
	files    map[core.FileID]*fileModel
	jobs     map[string]*jobModel // by idempotency key
	versions int                  // of jobs and attempts made
}

func newWorld() *world {
	w := &world{
		table: infratest.NewTable(), objects: &notedObjects{Objects: infratest.NewObjects()},
		calls: make(map[string]*call), files: make(map[core.FileID]*fileModel), jobs: make(map[string]*jobModel),
	}
	w.table.Seed(1)
	w.objects.Seed(2)
	cfg := batch.DefaultConfig()
	cfg.RangeSizes = []int{2}
	cfg.AcceptTimeout = time.Hour // longer than a sweep in the middle of a request
	w.callers = &owner{gate: &gate{}, w: w}
	w.st = store.New(gatedTable{w.callers}, gatedObjects{w.callers}, cfg)
	w.in = intake.New(intake.Params{Store: w.st, Config: cfg, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Notify: func(core.JobID) {}})
	w.reader = results.NewReader(w.st)
	w.intents = intent.New(intent.Config{Table: gatedTable{w.callers}, NewID: func() string { w.versions++; return fmt.Sprint(w.versions) }})
	for i := range 2 {
		o := &owner{gate: &gate{}, w: w}
		o.owns.Store(true)
		o.service = o.newService(time.Duration(1-2*i) * 9 * time.Minute)
		w.owners = append(w.owners, o)
	}
	return w
}

// newService makes the sweeps with a clock that is off by skew.
func (o *owner) newService(skew time.Duration) *Service {
	snapshot := settings.NewSnapshot(settings.SnapshotInput{Version: 1, Retention: keep})
	return NewService(Options{
		Config: Config{
			PageRows: 3, PagePause: time.Minute, SweepPause: 6 * time.Hour, ErrorPause: time.Minute, OwnerPause: 6 * time.Hour,
			CallTimeout: 5 * time.Second, Tries: 3, BatchRows: 2, TableRate: 15, ObjectRate: 30,
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

// start runs the sweeps in the background.
func (o *owner) start() {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel, o.done = cancel, make(chan struct{})
	go func() { defer close(o.done); o.service.Run(ctx) }()
}

// sweep sweeps all prefixes once.
func (o *owner) sweep() {
	for _, s := range o.service.sweeps {
		for s.step(ctx); s.position() != ""; {
			s.step(ctx)
		}
	}
}

func (w *world) stop() {
	for _, o := range w.owners {
		if o.cancel != nil {
			o.cancel()
			o.resume()
			<-o.done
		}
	}
	w.intents.Close()
}

func (w *world) clearFaults() {
	w.table.SetFaultPlan(infratest.FaultPlan{})
	w.objects.SetFaultPlan(infratest.FaultPlan{})
}

// up skips an action that needs the platform.
func (w *world) up(t *rapid.T) {
	if w.table.Plan().Down || w.objects.Plan().Down {
		t.Skip("the platform is down")
	}
}

func (w *world) readInput(m *records.Manifest) (string, error) {
	var out bytes.Buffer
	err := w.reader.WriteInput(context.Background(), m, &out)
	return out.String(), err
}

func (w *world) readResults(job *records.Job) (string, error) {
	var out bytes.Buffer
	err := w.reader.Write(context.Background(), job, results.All, &out)
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
