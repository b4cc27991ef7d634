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

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// dispatchInterval is the longest time between attempts to place pending
	// items. It is needed because nothing notifies the runner of free slots.
	dispatchInterval = 100 * time.Millisecond
	// itemRetryDelay is the delay before an item that failed or did not run is
	// sent again.
	itemRetryDelay = 150 * time.Millisecond
	// maxSearches bounds the concurrent searches of a node for slots of one
	// service. The hub orders the items of all nodes, so more searches would only
	// wait there.
	maxSearches = 8
	// searchTimeout is the time after which a search ends, so that the next one
	// tells the hub the current due time of the most urgent item.
	searchTimeout = 2 * time.Second
)

var errPreempted = errors.New("preempted by online work")

// Runner executes the jobs that this node owns.
type Runner struct {
	store *store
	cache *JobCache
	exec  *Executor
	owner string
	clock func() (time.Duration, bool)
	log   *slog.Logger
	wake  chan struct{}

	placer   Placer
	registry *replica.Registry
	// searchCtx bounds all searches. Stop cancels it.
	searchCtx      context.Context
	cancelSearches context.CancelFunc

	mu            sync.Mutex
	jobs          map[string]*ownedJob
	searches      map[searchKey]int // running searches for slots
	meanTokenTime *meanTokenTime
	suspects      suspectGate
	// leaving is set while the node takes no jobs from other nodes, because it is about to
	// stop. stopped is set when no more items are started.
	leaving, stopped bool
	wg               sync.WaitGroup
}

func newRunner(s *store, cache *JobCache, o *Options) *Runner {
	self := o.Nodes.Self()
	r := &Runner{
		store: s, cache: cache, exec: o.Executor, placer: o.Placer, registry: o.Registry, owner: self.Owner(), clock: o.Clock, log: o.Log,
		wake: make(chan struct{}, 1), jobs: make(map[string]*ownedJob), meanTokenTime: newMeanTokenTime(), searches: make(map[searchKey]int),
	}
	r.searchCtx, r.cancelSearches = context.WithCancel(context.Background())
	return r
}

// Run places pending items until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
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

// wakeDispatch makes Run place pending items without waiting for the ticker.
func (r *Runner) wakeDispatch() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// StartJob starts executing a job. The items with results in committed are not
// executed again.
func (r *Runner) StartJob(entry Entry, items []Item, committed []Result) {
	r.startJob(entry, items, committed, nil)
}

// startJob is StartJob for a job of which a former owner has passed on the output so
// far.
func (r *Runner) startJob(entry Entry, items []Item, committed []Result, progress []itemProgress) {
	done := make(map[string]bool, len(committed))
	for i := range committed {
		done[committed[i].Item] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobs[entry.ID]; known || r.stopped {
		return
	}
	// The row may have changed while the items and results were read. The call
	// of RowsChanged for that change found no job to drop.
	if latest, ok := r.cache.Get(entry.ID); ok && latest.Version > entry.Version && r.notOwned(&latest) {
		r.log.Info("job not executed", "job", entry.ID, "state", string(latest.State), "owner", latest.Owner)
		return
	}
	job := &ownedJob{entry: entry, running: make(map[*itemTask]struct{}), committed: len(committed)}
	job.ctx, job.cancel = context.WithCancel(context.Background())
	for i := range items {
		if !done[items[i].ID] {
			job.pending = append(job.pending, r.exec.newTask(job, &items[i]))
		}
	}
	job.applyProgress(progress, time.Now())
	// The longest items go first, so that no long item runs alone at the end.
	slices.SortStableFunc(job.pending, func(a, b *itemTask) int { return cmp.Compare(b.item.Tokens, a.item.Tokens) })
	r.jobs[entry.ID] = job
	if job.remaining() == 0 {
		r.startCommit(job)
	}
	r.wakeDispatch()
}

// hasJob reports whether this node executes the job.
func (r *Runner) hasJob(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[job]
	return ok
}

// RowsChanged handles changed job rows. It drops jobs that are no longer open or
// have another owner.
func (r *Runner) RowsChanged(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		e := &entries[i]
		job, owned := r.jobs[e.ID]
		if owned && e.Version > job.entry.Version && r.notOwned(e) {
			r.drop(job, "row changed")
		}
	}
}

// notOwned reports whether a job is not open or has another owner.
func (r *Runner) notOwned(e *Entry) bool { return e.State != StateOpen || e.Owner != r.owner }

// drop stops the execution of a job. The caller holds the lock.
func (r *Runner) drop(job *ownedJob, reason string) {
	delete(r.jobs, job.entry.ID)
	job.cancel()
	r.log.Info("job dropped", "job", job.entry.ID, "reason", reason, "committed", job.committed, "total", job.entry.Total)
}

// dispatch starts searches for replicas for the pending items, and abandons
// items that are past their time or have no route.
func (r *Runner) dispatch(now time.Time) {
	clock, known := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	wanted := make(map[searchKey]int)
	for _, task := range r.readyItems(now, clock) {
		if known && clock > task.job.entry.AbandonAt {
			r.abandon(task, "past the time at which unfinished items are abandoned")
			continue
		}
		route, status := r.exec.route(task)
		switch status {
		case routeMissing:
			r.abandon(task, "no route in the configuration")
			continue
		case routeNotLoaded:
			continue
		}
		if r.exec.quarantined(task) {
			continue
		}
		var key searchKey
		if r.waitsForSoftware(task, route, now) {
			key = searchKey{software: *task.begunAt, bound: true}
		} else {
			key.software.Service = route.Pick(rand.Uint64())
		}
		key.org = task.job.entry.Org
		wanted[key]++
		if wanted[key] <= r.searches[key] || r.searches[key] >= maxSearches {
			continue
		}
		r.searches[key]++
		q := key.query()
		if r.avoids(task, route, task.refusedBy, now) {
			q.Tried = []core.ReplicaID{task.refusedBy.Info().ID}
		}
		q.Arrived, q.MaxWait, q.DueIn, q.Late = now, searchTimeout, task.job.entry.Due-clock, !r.meanTokenTime.canMeetDue(task, clock)
		q.Org, q.Weight, q.Priority, q.Repeatable = key.org, organisationWeight, r.exec.priority(task, route), true
		go r.placeNext(key, q)
	}
}

// placeNext waits for a replica and starts an item there: the first in placement
// order at that time that may go there, which may not be the item that the search
// began for. The turn is that of an organisation, so one of its items is preferred.
func (r *Runner) placeNext(key searchKey, q *placement.Query) {
	target := r.search(q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.searches[key]--; r.searches[key] <= 0 {
		delete(r.searches, key)
	}
	if target == nil {
		return // the next dispatch searches again
	}
	clock, _ := r.clock()
	now, software := time.Now(), target.Info().Software()
	for _, task := range preferOrg(r.readyItems(now, clock), key.org) {
		route, status := r.exec.route(task)
		if status == routeFound && route.HasBackend(q.Service) && r.mayRunAt(task, route, software, now) &&
			!r.avoids(task, route, target, now) && !r.exec.quarantined(task) && !r.stopped {
			r.startItem(task, route, target)
			r.wakeDispatch() // a further search may start now
			return
		}
	}
	target.End(core.ClassBatch) // no item is pending any more
}

// search waits for a replica for an item. It returns nil if none was found.
func (r *Runner) search(q *placement.Query) (target *replica.Replica) {
	defer contain.Recover(r.log, "search for a replica", string(q.Service))
	ctx, cancel := context.WithTimeout(r.searchCtx, searchTimeout)
	defer cancel()
	target, _ = r.placer.Place(ctx, q)
	return target
}

// readyItems returns the pending items that may be sent now, in placement order, with
// one suspect at most. The caller holds the lock.
func (r *Runner) readyItems(now time.Time, clock time.Duration) []*itemTask {
	var all []*itemTask
	for _, job := range r.jobs {
		if job.handingOver {
			continue
		}
		for _, task := range job.pending {
			if !task.notBefore.After(now) {
				all = append(all, task)
			}
		}
	}
	sortForPlacement(all, r.meanTokenTime, clock)
	return r.suspects.filter(all, now)
}

// abandon gives a pending item a result with the state ItemDeadLetter. The caller
// holds the lock.
func (r *Runner) abandon(task *itemTask, reason string) {
	r.log.Info("item abandoned", "job", task.job.entry.ID, "item", task.item.ID, "reason", reason, "failures", task.failures)
	task.job.removePending(task)
	r.queueResult(task.job, Result{Item: task.item.ID, State: ItemDeadLetter})
}

// startItem runs an item at a replica, where the placer has already counted it.
// The caller holds the lock.
func (r *Runner) startItem(task *itemTask, route *routetable.Route, target *replica.Replica) {
	task.job.removePending(task)
	task.job.running[task] = struct{}{}
	ctx, cancel := context.WithCancelCause(task.job.ctx)
	task.replica, task.cancel, task.started, task.newEvents = target, cancel, time.Now(), 0
	r.suspects.start(task)
	if software := target.Info().Software(); task.begunAt != nil && *task.begunAt != software {
		r.log.Info("item begins anew", "job", task.job.entry.ID, "item", task.item.ID, "reason", "no replica of the version that made its output",
			"software", string(task.begunAt.Version), "now", string(software.Version), "last_event", task.lastEvent, "waited_ms", time.Since(task.progressAt).Milliseconds())
		task.dropOutput()
		task.runTime = 0
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel(nil)
		outcome := r.runContained(ctx, task, target)
		target.End(core.ClassBatch)
		r.handleOutcome(task, route, outcome, task.newEvents > 0)
	}()
}

// runContained runs an item. After a panic the item is sent again later. It is not
// abandoned before its time, as no replica has failed it.
func (r *Runner) runContained(ctx context.Context, task *itemTask, target *replica.Replica) (outcome runOutcome) {
	outcome = outcomeDeclined
	defer contain.Recover(r.log, "item", task.item.ID)
	return r.exec.run(ctx, task, target)
}

// handleOutcome records the result of an item after a run, or makes the item
// pending again. progressed is set if the run received events.
func (r *Runner) handleOutcome(task *itemTask, route *routetable.Route, outcome runOutcome, progressed bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.wakeDispatch()
	job := task.job
	delete(job.running, task)
	if r.suspects.end(task, now) {
		r.log.Info("item may have crashed its replica; sending it later", "job", job.entry.ID, "item", task.item.ID,
			"crashes", task.crashes, "delay_ms", task.notBefore.Sub(now).Milliseconds())
	}
	switch {
	case progressed:
		task.runTime += now.Sub(task.started)
		task.progressAt = now
	case task.begunAt == nil:
		task.runTime = 0 // the output was dropped
	}
	task.recordRefusal(outcome, task.replica, now)
	task.replica, task.cancel, task.started = nil, nil, time.Time{}
	if r.jobs[job.entry.ID] != job || outcome == outcomeStopped {
		return
	}
	switch outcome {
	case outcomeSucceeded:
		r.meanTokenTime.addSample(task.runTime, task.item.Tokens)
		r.queueResult(job, Result{Item: task.item.ID, State: ItemSucceeded, Text: string(task.output.text)})
		return
	case outcomeImpossible:
		r.log.Info("item abandoned", "job", job.entry.ID, "item", task.item.ID, "reason", "replica rejected the item as unprocessable")
		r.queueResult(job, Result{Item: task.item.ID, State: ItemDeadLetter})
		return
	case outcomeFailed:
		if task.failures++; task.failures >= max(1, route.MaxAttempts) {
			r.log.Info("item abandoned", "job", job.entry.ID, "item", task.item.ID, "reason", "maximum number of failures reached", "failures", task.failures)
			r.queueResult(job, Result{Item: task.item.ID, State: ItemDeadLetter})
			return
		}
		task.notBefore = now.Add(itemRetryDelay)
	case outcomeNotRun, outcomeDeclined:
		task.notBefore = now.Add(itemRetryDelay)
	}
	job.pending = append(job.pending, task)
}

// queueResult queues a result to be committed. The caller holds the lock.
func (r *Runner) queueResult(job *ownedJob, result Result) {
	job.finished = append(job.finished, result)
	r.startCommit(job)
}

// Stop starts no more items, waits for running items and commits until ctx ends,
// and drops the remaining jobs. Other nodes take these over.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.leaving, r.stopped = true, true
	r.mu.Unlock()
	r.cancelSearches()
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		r.drop(job, "node is stopping")
	}
}

// JobCounts returns the number of owned jobs and of their pending and running
// items, for the state dump.
func (r *Runner) JobCounts() (jobs, pending, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		jobs++
		pending += len(job.pending)
		running += len(job.running)
	}
	return jobs, pending, running
}
