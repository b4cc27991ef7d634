package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Create accepts a job, or returns the job that an earlier request with the same
// idempotency key and content created. The job is durable when Create returns. If
// the retention period of that job has ended, Create returns the expired job while
// it is being deleted; once its row is deleted, the key creates a new job.
func (in *Intake) Create(ctx context.Context, r Request) (records.Job, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	for {
		job, refusal, done := in.tryCreate(ctx, r)
		if done {
			return job, refusal
		}
	}
}

// tryCreate makes one attempt. It returns done = false if the row of the file was
// changed concurrently. The transaction requires that row to be unchanged and
// updates it, so that a file that a job uses is never deleted.
func (in *Intake) tryCreate(ctx context.Context, r Request) (_ records.Job, _ *core.Refusal, done bool) {
	m, version, refusal := in.usableFile(ctx, r.Org, r.File)
	if refusal != nil {
		return records.Job{}, refusal, true
	}
	job, refusal := r.jobRow(&m, in.p.Config, time.Now().UTC())
	if refusal != nil {
		return records.Job{}, refusal, true
	}
	m.LastUsed, m.JobCount = job.Created, m.JobCount+1
	_, err := in.p.Store.Commit(ctx, in.createTxn(&job, &m, version), nil)
	if errors.Is(err, infra.ErrConflict) {
		_, readErr := in.p.Store.Get(ctx, records.JobKey(job.ID))
		if errors.Is(readErr, infra.ErrNotFound) && ctx.Err() == nil {
			return records.Job{}, nil, false
		}
		found, refusal := in.existingJob(ctx, &job)
		return found, refusal, true
	}
	created, refusal := in.createResult(&job, err)
	return created, refusal, true
}

func (in *Intake) createTxn(job *records.Job, m *records.Manifest, fileVersion uint64) infra.Txn {
	key, fileKey := records.JobKey(job.ID), records.FileKey(m.ID)
	return infra.Txn{
		Conditions: []infra.Condition{{Key: key}, {Key: fileKey, Version: fileVersion}},
		Writes: []infra.Write{
			{Key: key, Value: records.Encode(job)},
			{Key: records.OpenKey(job.ID, in.p.Config.Shards), Value: records.Encode(records.OpenJob{State: job.State})},
			{Key: fileKey, Value: records.Encode(m)},
		},
	}
}

// createResult returns the result of a creation that had no conflict.
func (in *Intake) createResult(job *records.Job, err error) (records.Job, *core.Refusal) {
	switch {
	case err == nil:
		in.recordAccepted(job)
		return *job, nil
	case errors.Is(err, infra.ErrUnavailable):
		return records.Job{}, unavailable("the table service is unavailable; the batch was not accepted")
	default:
		return records.Job{}, core.Fail(core.CodeStoreUnavailable,
			"the table service did not confirm the batch; resend it with the same key")
	}
}

func (in *Intake) recordAccepted(job *records.Job) {
	in.p.Scope.Counter("batch_jobs_accepted").Inc(1)
	in.p.Scope.Counter("batch_items_accepted").Inc(int64(job.Items))
	in.p.Log.Info("batch job accepted", "job", job.ID, "org", job.Org, "items", job.Items,
		"ranges", job.Ranges, "due", job.Due, "non_idempotent", job.NonIdempotent)
	in.p.Notify(job.ID)
}

func (in *Intake) existingJob(ctx context.Context, job *records.Job) (records.Job, *core.Refusal) {
	found, _, refusal := in.Job(ctx, job.Org, job.ID)
	if refusal != nil {
		// An earlier attempt of this request, whose response was lost, may have
		// created the job.
		return records.Job{}, core.Fail(core.CodeStoreUnavailable,
			"the table service did not confirm the batch; resend it with the same key")
	}
	if !found.SameRequest(job) {
		return records.Job{}, core.Refuse(core.CodeKeyReused, "the idempotency key was used for a batch with other content")
	}
	return found, nil
}
