package worker

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
)

// startItem executes an item in a new goroutine. The caller holds w.mu.
func (w *Worker) startItem(r *openRange, i int) {
	r.running++
	r.started++
	r.lastActivity = time.Now()
	w.running++
	w.runningByJob[r.job.ID]++
	item := r.items[i]
	item.Try = r.progress[i].Tries + 1
	w.wg.Go(func() {
		out := w.executeItem(r, item)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finishItem(r, i, out)
	})
}

// executeItem runs an item unless the lease has become too old since the item was
// chosen.
func (w *Worker) executeItem(r *openRange, item batch.Item) batch.Outcome {
	if r.session.State() != lease.Fresh || r.itemCtx.Err() != nil {
		return batch.Outcome{Kind: batch.NotRun}
	}
	out := w.p.Runner.Run(r.itemCtx, item)
	w.p.Scope.Counter("batch_executions_" + out.Kind.String()).Inc(1)
	if r.itemCtx.Err() != nil && !item.NonIdempotent && out.Kind != batch.Done && out.Kind != batch.Invalid {
		// The interruption may have caused the failure.
		return batch.Outcome{Kind: batch.NotRun}
	}
	return out
}

// finishItem processes the outcome of an execution. The caller holds w.mu.
func (w *Worker) finishItem(r *openRange, i int, out batch.Outcome) {
	r.running--
	w.running--
	if w.runningByJob[r.job.ID]--; w.runningByJob[r.job.ID] == 0 {
		delete(w.runningByJob, r.job.ID)
	}
	defer w.notifyChanged()
	if r.closed {
		return
	}
	decision := ranges.Decide(r.progress[i], out, r.job.NonIdempotent, w.retryLimits(r.items[i]))
	r.progress[i] = decision.Progress
	switch decision.NextStep {
	case ranges.StepRequeue:
		r.requeue(i)
	case ranges.StepRetry:
		w.scheduleRetry(r, i, decision.Delay)
	default:
		before := r.buffered
		r.recordResult(i, decision.Outcome)
		w.buffered += r.buffered - before
		w.p.Scope.Counter("batch_items_" + decision.Outcome.Kind.String()).Inc(1)
		w.p.Scope.Counter("batch_output_tokens").Inc(int64(decision.Outcome.OutputTokens))
	}
}

// scheduleRetry makes an item startable again after a delay. The caller holds w.mu.
func (w *Worker) scheduleRetry(r *openRange, i int, delay time.Duration) {
	r.delayed++
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.closed {
			return
		}
		r.delayed--
		r.requeue(i)
		w.wakeLoop()
	})
}

func (w *Worker) retryLimits(item batch.Item) ranges.Limits {
	c := w.p.Config
	return ranges.Limits{
		Tries: w.p.MaxTries(item), BackendFailures: c.MaxBackendFailures,
		Backoff: c.ItemBackoff, BackoffMax: c.ItemBackoffMax,
	}
}
