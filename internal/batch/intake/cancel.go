package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Cancel sets the state of a job to cancelling; from then on, no claim and no commit
// of its ranges succeeds. The job becomes cancelled once none of its items is
// running. A job that is not in progress is returned unchanged.
func (in *Intake) Cancel(ctx context.Context, org core.Org, id core.JobID) (records.Job, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	for {
		job, version, refusal := in.Job(ctx, org, id)
		if refusal != nil || job.State != records.JobInProgress {
			return job, refusal
		}
		job.State, job.CancellingAt = records.JobCancelling, time.Now().UTC()
		key := records.JobKey(id)
		_, err := in.p.Store.Commit(ctx, infra.Txn{
			Conditions: []infra.Condition{{Key: key, Version: version}},
			Writes: []infra.Write{
				{Key: key, Value: records.Encode(job)},
				{Key: records.OpenKey(id, in.p.Config.Shards), Value: records.Encode(records.OpenJob{State: job.State})},
			},
		}, nil)
		switch {
		case err == nil:
			in.p.Log.Info("batch job cancelling", "job", id, "org", org)
			in.p.Notify(id)
			return job, nil
		case errors.Is(err, infra.ErrUnavailable):
			return job, unavailable("the table service is unavailable; the batch was not cancelled")
		case !errors.Is(err, infra.ErrConflict):
			return job, core.Fail(core.CodeStoreUnavailable, "the table service did not confirm the cancellation; repeat it")
		}
	}
}
