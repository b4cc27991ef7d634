package jobs

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// maxCommitResults and maxCommitBytes bound one transaction. The store
	// accepts up to 100 entries and 1 MB, with values encoded in base64.
	maxCommitResults = 40
	maxCommitBytes   = 500 << 10
	// maxInlineText is the longest text, in bytes, that is stored in a result
	// row. Rows hold at most 64 KiB.
	maxInlineText = 56 << 10
)

// startCommit starts committing a job's results in the background, unless a
// commit is already running. The caller holds the lock.
func (r *Runner) startCommit(job *ownedJob) {
	if job.committing {
		return
	}
	job.committing = true
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if err := r.commitContained(job); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.jobs[job.entry.ID] == job {
				r.drop(job, "commit failed: "+err.Error()) // the job is resumed from its rows
			}
		}
	}()
}

func (r *Runner) commitContained(job *ownedJob) (err error) {
	defer contain.Error(r.log, "commit of job", job.entry.ID, &err)
	r.commitLoop(job)
	return nil
}

// commitLoop commits batches until no finished results are left or the job is
// no longer executed here. If all results of an open job are committed, an empty
// batch closes it.
func (r *Runner) commitLoop(job *ownedJob) {
	for {
		r.mu.Lock()
		batch := nextBatch(job.finished)
		if r.jobs[job.entry.ID] != job || len(batch) == 0 && job.remaining() > 0 {
			job.committing = false
			r.mu.Unlock()
			return
		}
		entry, position := job.entry, job.committed
		r.mu.Unlock()
		if !r.commitBatch(job, entry, position, batch) {
			return
		}
	}
}

// nextBatch returns the longest prefix of the results that fits one transaction.
func nextBatch(finished []Result) []Result {
	size := 0
	for i := range finished {
		size += len(finished[i].Text)
		if i > 0 && (i == maxCommitResults || size > maxCommitBytes) {
			return finished[:i:i]
		}
	}
	return finished[:len(finished):len(finished)]
}

// commitBatch writes the results and retries until the outcome is known. It
// returns false if the job is complete or no longer owned by this node.
func (r *Runner) commitBatch(job *ownedJob, entry Entry, position int, batch []Result) bool {
	last := position+len(batch) == entry.Total
	txn, record, err := r.buildCommit(job.ctx, entry, position, batch, last)
	for err == nil {
		var version uint64
		version, err = r.store.table.CommitRows(job.ctx, txn)
		if err == nil {
			r.committed(job, record, version, len(batch), last)
			return !last
		}
		if retryable(err) && sleep(job.ctx, retryDelay) {
			err = nil
		}
	}
	if errors.Is(err, infra.ErrConflict) {
		return r.reconcile(job)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[entry.ID] == job {
		r.drop(job, "commit failed: "+err.Error())
	}
	return false
}

// buildCommit builds the transaction that writes a batch of results from the
// given position on. The last transaction of a job also sets its state to done.
func (r *Runner) buildCommit(ctx context.Context, entry Entry, position int, batch []Result, last bool) (infra.RowTxn, *Record, error) {
	txn := infra.RowTxn{Conditions: []infra.RowCondition{{RowKey: jobKey(entry.ID), Version: entry.Version}}}
	for i := range batch {
		result := batch[i]
		if err := r.offloadLongText(ctx, entry.ID, &result); err != nil {
			return infra.RowTxn{}, nil, err
		}
		value, err := msgpack.Marshal(&result)
		if err != nil {
			return infra.RowTxn{}, nil, err
		}
		key := resultKey(entry.ID, position+i)
		txn.Conditions = append(txn.Conditions, infra.RowCondition{RowKey: key})
		txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: key, Value: value})
	}
	record := entry.Record
	if last {
		record.State = StateDone
		value, err := msgpack.Marshal(&record)
		if err != nil {
			return infra.RowTxn{}, nil, err
		}
		txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: jobKey(entry.ID), Value: value})
	}
	return txn, &record, nil
}

// offloadLongText moves a text that is too long for a row to an object and
// refers to the object in the result.
func (r *Runner) offloadLongText(ctx context.Context, job string, result *Result) error {
	if len(result.Text) <= maxInlineText {
		return nil
	}
	object := objectName(job, r.owner+"/"+result.Item, 0)
	for {
		err := r.store.objects.Put(ctx, object, []byte(result.Text))
		if err == nil {
			result.Object, result.Text = object, ""
			return nil
		}
		if !retryable(err) || !sleep(ctx, retryDelay) {
			return err
		}
	}
}

// committed updates the job after a successful commit of n results, and removes
// it if it is complete.
func (r *Runner) committed(job *ownedJob, record *Record, version uint64, n int, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job.committed += n
	job.finished = job.finished[n:]
	if !last {
		return
	}
	r.cache.updateSilently(record, version)
	if r.jobs[record.ID] == job {
		delete(r.jobs, record.ID)
		job.cancel()
	}
	clock, _ := r.clock()
	r.log.Info("job completed", "job", record.ID, "items", record.Total, "took_ms", (clock - record.Accepted).Milliseconds(),
		"due_in_ms", (record.Due - clock).Milliseconds())
}

// reconcile reads the job's rows after a commit conflict. Either an earlier
// write by this node, whose answer was lost, took effect, or the job is no
// longer owned by this node. It reports whether to go on committing.
func (r *Runner) reconcile(job *ownedJob) bool {
	for {
		entry, err := r.store.job(job.ctx, job.entry.ID)
		var results []Result
		if err == nil {
			results, _, err = r.store.results(job.ctx, job.entry.ID, 0)
		}
		if err == nil {
			return r.applyReconciled(job, entry, results)
		}
		if !retryable(err) || !sleep(job.ctx, retryDelay) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.jobs[job.entry.ID] == job {
				r.drop(job, "reading the job after a commit conflict failed: "+err.Error())
			}
			return false
		}
	}
}

// applyReconciled updates the job from the rows that were read: results that are
// listed already are not committed again. It drops the job if this node no
// longer owns it.
func (r *Runner) applyReconciled(job *ownedJob, entry Entry, results []Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache.updateSilently(&entry.Record, entry.Version)
	if r.jobs[entry.ID] != job {
		return false
	}
	if r.notOwned(&entry) {
		r.drop(job, "commit conflict: state "+string(entry.State)+", owner "+entry.Owner)
		return false
	}
	listed := make(map[string]bool, len(results))
	for i := range results {
		listed[results[i].Item] = true
	}
	kept := job.finished[:0:0]
	for _, f := range job.finished {
		if !listed[f.Item] {
			kept = append(kept, f)
		}
	}
	job.entry, job.committed, job.finished = entry, len(results), kept
	return true
}
