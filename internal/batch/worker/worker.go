package worker

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// Params is what a Worker is made of.
type Params struct {
	Store     *store.Store
	Config    batch.Config
	Log       *slog.Logger
	Scope     tally.Scope
	Messenger peer.Messenger
	Keeper    *lease.Keeper
	Runner    batch.Runner
	// Report tells the coordinator of a job about a range; it does not wait.
	Report func(core.JobID, coordinator.Report)
	// Weight returns the fair-share weight of an organisation.
	Weight func(core.Org) int
	// MaxTries returns the number of tries of an idempotent item, 1 or more.
	MaxTries func(batch.Item) int
}

// Worker is the worker role of one node.
type Worker struct {
	p    Params
	wake chan struct{}

	mu        sync.Mutex
	ranges    []*openRange // in the order of their claims
	claiming  int          // claims under way
	asking    bool
	closing   bool
	sources   []core.NodeID // coordinators that have work
	running   int
	runningOf map[core.JobID]int
	cancelled map[core.JobID]time.Time
	buffered  int64
	stopping  bool
	idleSince time.Time
	changed   chan struct{} // closed and replaced when an item or range ends

	ctx         context.Context // of claims, writes and the loop
	cancel      context.CancelFunc
	itemCtx     context.Context // of all items
	cancelItems context.CancelFunc
	claims      atomic.Uint64
	wg          sync.WaitGroup
}

// New returns a Worker and registers its message handlers.
func New(p Params) *Worker {
	w := &Worker{
		p: p, wake: make(chan struct{}, 1),
		runningOf: make(map[core.JobID]int),
		cancelled: make(map[core.JobID]time.Time),
		changed:   make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.itemCtx, w.cancelItems = context.WithCancel(context.Background())
	p.Messenger.Handle(coordinator.KindWork, w.handleWork)
	p.Messenger.Handle(coordinator.KindBehind, w.handleBehind)
	p.Messenger.Handle(coordinator.KindCancel, w.handleCancel)
	return w
}

// Start begins to ask for work.
func (w *Worker) Start() { w.wg.Go(w.loop) }

func (w *Worker) loop() {
	timer := time.NewTicker(w.p.Config.Tick)
	defer timer.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
		w.step(time.Now())
	}
}

func (w *Worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the loop and everyone who waits for items or ranges to
// end. The lock is held.
func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
	w.signal()
}

// await waits until cond, which is called with the lock held, or ctx ends.
func (w *Worker) await(ctx context.Context, cond func() bool) bool {
	for {
		w.mu.Lock()
		ok, changed := cond(), w.changed
		w.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
