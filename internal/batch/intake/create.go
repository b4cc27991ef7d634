package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/platform"
)

// Create accepts a job, or returns the one that an earlier request with the
// same key and content created. The job is durable when it returns.
func (in *Intake) Create(ctx context.Context, r Request) (records.Job, *core.Refusal) {
	m, refusal := in.File(ctx, r.Org, r.File)
	if refusal != nil {
		return records.Job{}, refusal
	}
	job, refusal := r.job(&m, in.p.Config, time.Now().UTC())
	if refusal != nil {
		return records.Job{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	key := records.JobKey(job.ID)
	_, err := in.p.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes: []platform.Write{
			{Key: key, Value: records.Encode(job)},
			{Key: records.OpenKey(job.ID, in.p.Config.Shards), Value: records.Encode(records.Open{State: job.State})},
		},
	}, nil)
	switch {
	case err == nil:
		in.accepted(&job)
		return job, nil
	case errors.Is(err, platform.ErrConflict):
		return in.existing(ctx, &job)
	case errors.Is(err, platform.ErrUnavailable):
		return records.Job{}, unavailable("the table service is unavailable; the batch was not accepted")
	default:
		return records.Job{}, core.Fail(core.CodeStoreUnavailable,
			"the table service did not confirm the batch; resend it with the same key")
	}
}

func (in *Intake) accepted(job *records.Job) {
	in.p.Scope.Counter("batch_jobs_accepted").Inc(1)
	in.p.Scope.Counter("batch_items_accepted").Inc(int64(job.Items))
	in.p.Log.Info("batch job accepted", "job", job.ID, "org", job.Org, "items", job.Items,
		"ranges", job.Ranges, "due", job.Due, "non_idempotent", job.NonIdempotent)
	in.p.Notify(job.ID)
}

func (in *Intake) existing(ctx context.Context, job *records.Job) (records.Job, *core.Refusal) {
	found, _, refusal := in.Job(ctx, job.Org, job.ID)
	if refusal != nil {
		// An attempt of this request whose answer was lost may have created it.
		return records.Job{}, core.Fail(core.CodeStoreUnavailable,
			"the table service did not confirm the batch; resend it with the same key")
	}
	if !found.SameRequest(job) {
		return records.Job{}, core.Refuse(core.CodeKeyReused, "the idempotency key was used for a batch with other content")
	}
	return found, nil
}
