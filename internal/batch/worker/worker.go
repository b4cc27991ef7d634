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

// Params holds the dependencies of a Worker.
type Params struct {
	Store     *store.Store
	Config    batch.Config
	Log       *slog.Logger
	Scope     tally.Scope
	Messenger peer.Messenger
	Leases    *lease.Manager
	Runner    batch.Runner
	// Report sends a report to the coordinator of a job. It does not block.
	Report func(core.JobID, coordinator.RangeReport)
	// Weight returns the fair-share weight of an organisation.
	Weight func(core.Org) int
	// MaxTries returns the maximum number of tries of an idempotent item, 1 or
	// more.
	MaxTries func(batch.Item) int
}

// Worker implements the worker role of one node.
type Worker struct {
	p    Params
	wake chan struct{}

	mu             sync.Mutex
	ranges         []*openRange // in the order of their claims
	pendingClaims  int          // claims in progress
	requesting     bool
	closingSession bool
	coordinators   []core.NodeID // coordinators that have work available
	running        int
	runningByJob   map[core.JobID]int
	cancelled      map[core.JobID]time.Time
	buffered       int64
	stopping       bool
	idleSince      time.Time
	changed        chan struct{} // closed and replaced by notifyChanged

	ctx         context.Context // for claims, writes and the loop
	cancel      context.CancelFunc
	itemCtx     context.Context // for executions of items
	cancelItems context.CancelFunc
	claims      atomic.Uint64
	wg          sync.WaitGroup
}

// New returns a Worker and registers its message handlers.
func New(p Params) *Worker {
	w := &Worker{
		p: p, wake: make(chan struct{}, 1),
		runningByJob: make(map[core.JobID]int),
		cancelled:    make(map[core.JobID]time.Time),
		changed:      make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.itemCtx, w.cancelItems = context.WithCancel(context.Background())
	p.Messenger.Handle(coordinator.KindWorkAvailable, w.handleWorkAvailable)
	p.Messenger.Handle(coordinator.KindSplitRequest, w.handleSplitRequest)
	p.Messenger.Handle(coordinator.KindCancelRequest, w.handleCancelRequest)
	return w
}

// Start starts the loop that requests and executes work.
func (w *Worker) Start() { w.wg.Go(w.loop) }

func (w *Worker) loop() {
	timer := time.NewTicker(w.p.Config.PollInterval)
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

func (w *Worker) wakeLoop() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the loop and all callers of waitFor. The caller holds w.mu.
func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
	w.wakeLoop()
}

// waitFor waits until cond returns true, and then returns true, or until ctx ends.
// It calls cond with w.mu held.
func (w *Worker) waitFor(ctx context.Context, cond func() bool) bool {
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
