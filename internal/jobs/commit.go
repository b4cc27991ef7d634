package jobs

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// commitResults and commitBytes bound one transaction. The store takes 100
	// entries and 1 MB, with values in base64.
	commitResults = 40
	commitBytes   = 500 << 10
	// inlineText is the longest text in a row; rows hold 64 KiB.
	inlineText = 56 << 10
)

// commitLater begins to commit a job's results, unless that is going on. The
// caller holds the lock.
func (r *Runner) commitLater(job *ownedJob) {
	if job.committing {
		return
	}
	job.committing = true
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		r.commitAll(job)
	}()
}

// commitAll commits until nothing is left.
func (r *Runner) commitAll(job *ownedJob) {
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

// nextBatch returns the first results that fit one transaction.
func nextBatch(finished []Result) []Result {
	size := 0
	for i := range finished {
		size += len(finished[i].Text)
		if i > 0 && (i == commitResults || size > commitBytes) {
			return finished[:i:i]
		}
	}
	return finished[:len(finished):len(finished)]
}

// commitBatch writes the results until the outcome is known. It returns false
// if the job is no longer this node's, or complete.
func (r *Runner) commitBatch(job *ownedJob, entry Entry, position int, batch []Result) bool {
	last := position+len(batch) == entry.Total
	txn, record, err := r.commitTxn(job.ctx, entry, position, batch, last)
	for err == nil {
		var version uint64
		version, err = r.store.table.CommitRows(job.ctx, txn)
		if err == nil {
			r.committed(job, record, version, len(batch), last)
			return !last
		}
		if retryable(err) && pause(job.ctx, retryPause) {
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

// commitTxn builds the transaction. The last one also closes the job.
func (r *Runner) commitTxn(ctx context.Context, entry Entry, position int, batch []Result, last bool) (infra.RowTxn, *Record, error) {
	txn := infra.RowTxn{Conditions: []infra.RowCondition{{RowKey: jobKey(entry.ID), Version: entry.Version}}}
	for i := range batch {
		result := batch[i]
		if err := r.moveLongText(ctx, entry.ID, &result); err != nil {
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

// moveLongText puts a text that does not fit a row into an object.
func (r *Runner) moveLongText(ctx context.Context, job string, result *Result) error {
	if len(result.Text) <= inlineText {
		return nil
	}
	object := objectName(job, r.owner+"/"+result.Item, 0)
	for {
		err := r.store.objects.Put(ctx, object, []byte(result.Text))
		if err == nil {
			result.Object, result.Text = object, ""
			return nil
		}
		if !retryable(err) || !pause(ctx, retryPause) {
			return err
		}
	}
}

// committed records a successful commit.
func (r *Runner) committed(job *ownedJob, record *Record, version uint64, n int, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job.committed += n
	job.finished = job.finished[n:]
	if !last {
		return
	}
	r.book.note(record, version)
	if r.jobs[record.ID] == job {
		delete(r.jobs, record.ID)
		job.cancel()
	}
	clock, _ := r.clock()
	r.log.Info("job done", "job", record.ID, "items", record.Total, "took_ms", (clock - record.Accepted).Milliseconds(),
		"due_in_ms", (record.Due - clock).Milliseconds())
}

// reconcile reads what the table holds after a commit was refused: an earlier
// write of ours may have taken effect, or the job is not ours any more.
func (r *Runner) reconcile(job *ownedJob) bool {
	for {
		entry, err := r.store.job(job.ctx, job.entry.ID)
		var results []Result
		if err == nil {
			results, _, err = r.store.results(job.ctx, job.entry.ID, 0)
		}
		if err == nil {
			return r.reconciled(job, entry, results)
		}
		if !retryable(err) || !pause(job.ctx, retryPause) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.jobs[job.entry.ID] == job {
				r.drop(job, "cannot be read: "+err.Error())
			}
			return false
		}
	}
}

func (r *Runner) reconciled(job *ownedJob, entry Entry, results []Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.note(&entry.Record, entry.Version)
	if r.jobs[entry.ID] != job {
		return false
	}
	if r.notOurs(&entry) {
		r.drop(job, "commit refused: state "+string(entry.State)+", owner "+entry.Owner)
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
