package intake

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Params holds the dependencies of an Intake.
type Params struct {
	Store  *store.Store
	Config batch.Config
	Log    *slog.Logger
	Scope  tally.Scope
	// CheckURL returns the reason why items cannot be sent to a URL, or "".
	CheckURL func(method, url string) string
	// Notify notifies the coordinator of a job that the job was accepted or
	// changed.
	Notify func(core.JobID)
}

// Intake accepts input files and jobs, and reads them for the HTTP API.
type Intake struct {
	p Params
}

// New returns an Intake with the given dependencies.
func New(p Params) *Intake { return &Intake{p: p} }

// Job returns an organisation's job and the version of its row.
func (in *Intake) Job(ctx context.Context, org core.Org, id core.JobID) (records.Job, uint64, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	row, err := in.p.Store.Get(ctx, records.JobKey(id))
	if errors.Is(err, infra.ErrNotFound) {
		return records.Job{}, 0, jobNotFound(id)
	}
	if err != nil {
		return records.Job{}, 0, unavailable("the table service is unavailable")
	}
	job, err := records.Decode[records.Job](row.Value)
	if err != nil {
		return job, 0, core.Refuse(core.CodeInternal, "the row of batch "+string(id)+" is damaged")
	}
	if job.Org != org {
		return records.Job{}, 0, jobNotFound(id)
	}
	return job, row.Version, nil
}

// Progress returns the number of committed results of a job and how many of
// them are failures.
func (in *Intake) Progress(ctx context.Context, job *records.Job) (done, failed int, refusal *core.Refusal) {
	if !job.EndedAt.IsZero() {
		return job.Completed + job.Failed, job.Failed, nil
	}
	err := in.p.Store.ForEach(ctx, records.RangeKeyPrefix(job.ID), "", func(row infra.Row) error {
		r, err := records.Decode[records.Range](row.Value)
		if err != nil {
			return err
		}
		n, f := r.Counts()
		done, failed = done+n, failed+f
		return nil
	})
	if err != nil {
		return 0, 0, unavailable("the table service is unavailable")
	}
	return done, failed, nil
}

// List returns up to limit jobs of an organisation with ids greater than after, in
// the order of their ids, and whether there are more.
func (in *Intake) List(ctx context.Context, org core.Org, after core.JobID, limit int) ([]records.Job, bool, *core.Refusal) {
	stop := errors.New("enough")
	var jobs []records.Job
	start := ""
	if after != "" {
		start = records.JobKey(after)
	}
	err := in.p.Store.ForEach(ctx, records.JobKey(core.JobID(records.OrgJobIDPrefix(org))), start, func(row infra.Row) error {
		if len(jobs) > limit {
			return stop
		}
		job, err := records.Decode[records.Job](row.Value)
		if err == nil && job.Org == org {
			jobs = append(jobs, job)
		}
		return nil
	})
	if err != nil && !errors.Is(err, stop) {
		return nil, false, unavailable("the table service is unavailable")
	}
	if len(jobs) > limit {
		return jobs[:limit], true, nil
	}
	return jobs, false, nil
}

func fileNotFound(id core.FileID) *core.Refusal {
	return core.Refuse(core.CodeNotFound, "file not found: "+string(id))
}

func jobNotFound(id core.JobID) *core.Refusal {
	return core.Refuse(core.CodeNotFound, "batch not found: "+string(id))
}

func unavailable(message string) *core.Refusal {
	r := core.Refuse(core.CodeStoreUnavailable, message)
	r.RetryAfter = 5 * time.Second
	return r
}
