package jobs

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

const (
	// dispatchTick is the longest time after which pending items are placed
	// again: slots become free without a notice.
	dispatchTick = 100 * time.Millisecond
	// repeatPause keeps an item that failed from being sent again at once.
	repeatPause = 150 * time.Millisecond
	// maxSeeking bounds the searches of a node for slots of one service. The hub
	// orders the items of all nodes, so that more would only wait there.
	maxSeeking = 8
	// seekPatience is the time after which a search ends, so that the next one
	// tells the hub which item is due now.
	seekPatience = 2 * time.Second
)

var errPreempted = errors.New("gave way to online work")

// Runner executes the jobs that this node owns.
type Runner struct {
	store *store
	book  *Book
	exec  *Executor
	owner string
	clock func() (time.Duration, bool)
	log   *slog.Logger
	wake  chan struct{}

	placer Placer
	// seekCtx ends with the execution.
	seekCtx     context.Context
	stopSeeking context.CancelFunc

	mu       sync.Mutex
	jobs     map[string]*ownedJob
	seeking  map[core.DeploymentID]int // searches for slots, by service
	pace     *pace
	stopping bool
	tasks    sync.WaitGroup
}

func newRunner(s *store, book *Book, o *Options) *Runner {
	self := o.Nodes.Self()
	r := &Runner{
		store: s, book: book, exec: o.Executor, placer: o.Placer, owner: self.Owner(), clock: o.Clock, log: o.Log,
		wake: make(chan struct{}, 1), jobs: make(map[string]*ownedJob), pace: newPace(), seeking: make(map[core.DeploymentID]int),
	}
	r.seekCtx, r.stopSeeking = context.WithCancel(context.Background())
	return r
}

// Run places items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
		r.dispatch(time.Now())
	}
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Own begins the execution of a job, of which the given results are committed.
func (r *Runner) Own(entry Entry, items []Item, committed []Result) {
	done := make(map[string]bool, len(committed))
	for i := range committed {
		done[committed[i].Item] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobs[entry.ID]; known || r.stopping {
		return
	}
	// The row may have changed while the items and results were read; the
	// notice of that found no job here to drop.
	if latest, ok := r.book.Get(entry.ID); ok && latest.Version > entry.Version && r.notOurs(&latest) {
		r.log.Info("job not executed", "job", entry.ID, "state", string(latest.State), "owner", latest.Owner)
		return
	}
	job := &ownedJob{entry: entry, running: make(map[*work]struct{}), committed: len(committed)}
	job.ctx, job.cancel = context.WithCancel(context.Background())
	for i := range items {
		if !done[items[i].ID] {
			job.pending = append(job.pending, &work{job: job, item: &items[i], last: forward.NoResume})
		}
	}
	// The longest items first, so that none is left to run alone.
	slices.SortStableFunc(job.pending, func(a, b *work) int { return cmp.Compare(b.item.Tokens, a.item.Tokens) })
	r.jobs[entry.ID] = job
	if job.remaining() == 0 {
		r.commitLater(job)
	}
	r.signal()
}

// executes reports whether the job is being executed here.
func (r *Runner) executes(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[job]
	return ok
}

// Changed takes new rows of jobs: one that is cancelled or has another owner
// stops here.
func (r *Runner) Changed(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		e := &entries[i]
		job, owned := r.jobs[e.ID]
		if owned && e.Version > job.entry.Version && r.notOurs(e) {
			r.drop(job, "row changed")
		}
	}
}

// notOurs reports whether a job is not to be executed here.
func (r *Runner) notOurs(e *Entry) bool { return e.State != StateOpen || e.Owner != r.owner }

// drop stops a job. The caller holds the lock.
func (r *Runner) drop(job *ownedJob, reason string) {
	delete(r.jobs, job.entry.ID)
	job.cancel()
	r.log.Info("job dropped", "job", job.entry.ID, "reason", reason, "committed", job.committed, "total", job.entry.Total)
}

// dispatch looks for replicas for the pending items.
func (r *Runner) dispatch(now time.Time) {
	clock, known := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	wanted := make(map[core.DeploymentID]int)
	for _, w := range r.ready(now, clock) {
		if known && clock > w.job.entry.GiveUp {
			r.abandon(w, "past its time")
			continue
		}
		route, verdict := r.exec.route(w)
		switch verdict {
		case routeGone:
			r.abandon(w, "its route is gone")
			continue
		case routeUnknown:
			continue
		}
		service := route.Pick(rand.Uint64())
		wanted[service]++
		if wanted[service] <= r.seeking[service] || r.seeking[service] >= maxSeeking {
			continue
		}
		r.seeking[service]++
		go r.seek(&placement.Query{
			Service: service, Class: core.ClassBatch, Arrived: now, Patience: seekPatience,
			DueIn: w.job.entry.Due - clock, Late: !r.pace.inTime(w, clock),
		})
	}
}

// seek waits for a replica and starts the item there that is the next one then.
func (r *Runner) seek(q *placement.Query) {
	ctx, cancel := context.WithTimeout(r.seekCtx, seekPatience)
	target, _ := r.placer.Place(ctx, q)
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeking[q.Service]--
	if target == nil {
		return // the next look at the pending items goes on
	}
	clock, _ := r.clock()
	for _, w := range r.ready(time.Now(), clock) {
		if route, verdict := r.exec.route(w); verdict == routeFound && route.Serves(q.Service) && !r.stopping {
			r.start(w, route, target)
			r.signal() // others may seek now
			return
		}
	}
	target.End(core.ClassBatch) // nothing is pending any more
}

// ready returns the pending items that may be sent, in the order of their
// placement. The caller holds the lock.
func (r *Runner) ready(now time.Time, clock time.Duration) []*work {
	var all []*work
	for _, job := range r.jobs {
		for _, w := range job.pending {
			if !w.notBefore.After(now) {
				all = append(all, w)
			}
		}
	}
	sortWork(all, r.pace, clock)
	return all
}

// abandon ends an item without success. The caller holds the lock.
func (r *Runner) abandon(w *work, reason string) {
	r.log.Info("item given up", "job", w.job.entry.ID, "item", w.item.ID, "reason", reason, "failures", w.failures)
	w.job.takePending(w)
	r.finish(w.job, Result{Item: w.item.ID, State: ItemDead})
}

// start runs an item at a replica where it was counted. The caller holds the
// lock.
func (r *Runner) start(w *work, route *routes.Route, target *replica.Replica) {
	w.job.takePending(w)
	w.job.running[w] = struct{}{}
	ctx, cancel := context.WithCancelCause(w.job.ctx)
	w.replica, w.cancel = target, cancel
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		defer cancel(nil)
		began, events := time.Now(), len(w.texts)
		end := r.exec.run(ctx, w, target)
		target.End(core.ClassBatch)
		if len(w.texts) > events { // a run that brought nothing has not advanced
			w.ran += time.Since(began)
		}
		r.ended(w, route, end)
	}()
}

// ended decides what follows the run of an item.
func (r *Runner) ended(w *work, route *routes.Route, end ending) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signal()
	job := w.job
	delete(job.running, w)
	w.replica, w.cancel = nil, nil
	if r.jobs[job.entry.ID] != job || end == endStopped {
		return
	}
	switch end {
	case endSucceeded:
		r.pace.learn(w.ran, w.item.Tokens)
		r.finish(job, Result{Item: w.item.ID, State: ItemSucceeded, Text: w.text()})
		return
	case endImpossible:
		r.log.Info("item given up", "job", job.entry.ID, "item", w.item.ID, "reason", "it can never be done")
		r.finish(job, Result{Item: w.item.ID, State: ItemDead})
		return
	case endFailed:
		if w.failures++; w.failures >= max(1, route.MaxAttempts) {
			r.log.Info("item given up", "job", job.entry.ID, "item", w.item.ID, "reason", "failed too often", "failures", w.failures)
			r.finish(job, Result{Item: w.item.ID, State: ItemDead})
			return
		}
		w.notBefore = now.Add(repeatPause)
	case endNotRun, endDeclined:
		w.notBefore = now.Add(repeatPause)
	}
	job.pending = append(job.pending, w)
}

// finish queues a result for the commit. The caller holds the lock.
func (r *Runner) finish(job *ownedJob, result Result) {
	job.finished = append(job.finished, result)
	r.commitLater(job)
}

// Yield ends the run of one item at a replica that online work needs. It
// reports whether there was one.
func (r *Runner) Yield(target *replica.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var victim *work
	for _, job := range r.jobs {
		for w := range job.running {
			if w.replica == target && (victim == nil || w.job.entry.Due > victim.job.entry.Due) {
				victim = w
			}
		}
	}
	if victim == nil {
		return false
	}
	victim.replica = nil // it is chosen once
	victim.cancel(errPreempted)
	r.log.Info("item preempted", "job", victim.job.entry.ID, "item", victim.item.ID, "replica", target.Info().ID)
	return true
}

// Stop starts no more items, waits for the running ones until ctx ends and
// commits what is finished. Jobs that remain are taken over by other nodes.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.stopSeeking()
	done := make(chan struct{})
	go func() {
		r.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		r.drop(job, "node stops")
	}
}

// Owned returns the jobs and the running items, for the state dump.
func (r *Runner) Owned() (jobs, pending, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		jobs++
		pending += len(job.pending)
		running += len(job.running)
	}
	return jobs, pending, running
}
