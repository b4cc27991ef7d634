package worker

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
)

// run starts an item. The lock is held.
func (w *Worker) run(r *openRange, i int) {
	r.running++
	r.started++
	r.quiet = time.Now()
	w.running++
	w.runningOf[r.job.ID]++
	item := r.items[i]
	item.Try = r.progress[i].Tries + 1
	w.wg.Go(func() {
		out := w.execute(r, item)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.finish(r, i, out)
	})
}

// execute runs an item unless the lease has aged since it was picked.
func (w *Worker) execute(r *openRange, item batch.Item) batch.Outcome {
	if r.session.State() != lease.Fresh || r.itemCtx.Err() != nil {
		return batch.Outcome{Kind: batch.NotRun}
	}
	out := w.p.Runner.Run(r.itemCtx, item)
	w.p.Scope.Counter("batch_executions_" + out.Kind.String()).Inc(1)
	if r.itemCtx.Err() != nil && !item.NonIdempotent && out.Kind != batch.Done && out.Kind != batch.Invalid {
		// The failure may be the effect of the interruption.
		return batch.Outcome{Kind: batch.NotRun}
	}
	return out
}

// finish takes over the outcome of an execution. The lock is held.
func (w *Worker) finish(r *openRange, i int, out batch.Outcome) {
	r.running--
	w.running--
	if w.runningOf[r.job.ID]--; w.runningOf[r.job.ID] == 0 {
		delete(w.runningOf, r.job.ID)
	}
	defer w.notifyChanged()
	if r.closed {
		return
	}
	v := ranges.Judge(r.progress[i], out, r.job.NonIdempotent, w.limits(r.items[i]))
	r.progress[i] = v.Progress
	switch v.Step {
	case ranges.StepReturn:
		r.giveBack(i)
	case ranges.StepRepeat:
		w.repeat(r, i, v.After)
	default:
		before := r.buffered
		r.record(i, v.Outcome)
		w.buffered += r.buffered - before
		w.p.Scope.Counter("batch_items_" + v.Outcome.Kind.String()).Inc(1)
		w.p.Scope.Counter("batch_output_tokens").Inc(int64(v.Outcome.OutputTokens))
	}
}

// repeat makes an item startable again after a pause. The lock is held.
func (w *Worker) repeat(r *openRange, i int, after time.Duration) {
	r.delayed++
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.closed {
			return
		}
		r.delayed--
		r.giveBack(i)
		w.signal()
	})
}

func (w *Worker) limits(item batch.Item) ranges.Limits {
	c := w.p.Config
	return ranges.Limits{
		Tries: w.p.MaxTries(item), BackendFailures: c.MaxBackendFailures,
		Backoff: c.ItemBackoff, BackoffMax: c.ItemBackoffMax,
	}
}
