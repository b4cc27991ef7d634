package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// errNotDone means that a job has a range that is not done.
var errNotDone = errors.New("range not done")

// endJobs starts the completion of jobs whose ranges are all done and carries
// on the cancellations.
func (c *Coordinator) endJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.ending || j.readFor != j.version {
			continue
		}
		row, version := j.row, j.version // a scan may replace them meanwhile
		switch {
		case j.complete():
			j.ending = true
			c.wg.Go(func() { c.complete(c.ctx, j, row, version) })
		case j.row.State == records.JobCancelling:
			j.ending = true
			holders := j.holders()
			c.wg.Go(func() { c.cancelJob(c.ctx, j, row, version, holders) })
		}
	}
}

// complete checks the range rows and writes the job row.
func (c *Coordinator) complete(ctx context.Context, j *jobInfo, job records.Job, version uint64) {
	done, failed, err := c.count(ctx, &job, true)
	if err == nil && done == job.Items {
		job.State = records.JobCompleted
		err = c.end(ctx, j, job, version, done, failed)
	} else if err == nil {
		c.p.Log.Error("batch job has ranges that are done but lack results", "job", job.ID, "items", job.Items, "results", done)
	}
	c.ended(j, err)
}

// count adds up the committed results of a job. With all set, every range
// must be done. Ranges that are split off follow their origin in key order and
// are written in one transaction with it, so an origin that is read as done
// has all its split-off ranges in the rest of the scan.
func (c *Coordinator) count(ctx context.Context, job *records.Job, all bool) (done, failed int, err error) {
	first := 0
	prefix := records.RangePrefix(job.ID)
	err = c.p.Store.Each(ctx, prefix, "", func(row infra.Row) error {
		r, err := records.Decode[records.Range](row.Value)
		if err != nil {
			return err
		}
		if all && r.State != records.RangeDone {
			return errNotDone
		}
		if row.Key == prefix+records.RangeID(first) {
			first++
		}
		n, f := r.Counts()
		done, failed = done+n, failed+f
		return nil
	})
	if err == nil && all && first != job.Ranges {
		err = errNotDone
	}
	return done, failed, err
}

// end writes the final state of a job and removes its index row.
func (c *Coordinator) end(ctx context.Context, j *jobInfo, job records.Job, version uint64, done, failed int) error {
	job.Completed, job.Failed, job.EndedAt = done-failed, failed, time.Now().UTC()
	key := records.JobKey(job.ID)
	_, err := c.p.Store.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes: []infra.Write{
			{Key: key, Value: records.Encode(job)},
			{Key: records.OpenKey(job.ID, c.p.Config.Shards), Delete: true},
		},
	}, nil)
	if err != nil {
		return err
	}
	c.p.Scope.Counter("batch_jobs_" + string(job.State)).Inc(1)
	c.p.Log.Info("batch job "+string(job.State), "job", job.ID, "org", job.Org, "items", job.Items, "completed", job.Completed, "failed", job.Failed)
	c.mu.Lock()
	delete(c.jobs, job.ID)
	c.mu.Unlock()
	return nil
}

// ended allows the next attempt to end a job.
func (c *Coordinator) ended(j *jobInfo, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.ending, j.stale = false, true
	if errors.Is(err, infra.ErrConflict) {
		j.openVersion = 0 // read the job row again
	}
}

// holder is a session that holds ranges of a job that is being cancelled.
type holder struct {
	node         core.NodeID
	session      string
	gone         bool
	leaseVersion uint64
}

// holders returns the sessions that hold ranges. The job row forbids new
// claims, so a read after its change finds all of them.
func (j *jobInfo) holders() []holder {
	seen := make(map[string]bool)
	var out []holder
	for _, id := range j.ids[j.firstOpen:] {
		r := j.ranges[id]
		if r.row.State != records.RangeClaimed || seen[r.row.Session] {
			continue
		}
		seen[r.row.Session] = true
		out = append(out, holder{node: r.row.Node, session: r.row.Session, gone: r.holder.Gone, leaseVersion: r.holder.Version})
	}
	return out
}

// cancelJob stops all holders and then writes the job row. If one does not
// confirm and its lease has not lapsed, the next scan tries again.
func (c *Coordinator) cancelJob(ctx context.Context, j *jobInfo, job records.Job, version uint64, holders []holder) {
	var err error
	if c.stopAll(ctx, job.ID, holders) {
		var done, failed int
		if done, failed, err = c.count(ctx, &job, false); err == nil {
			job.State = records.JobCancelled
			err = c.end(ctx, j, job, version, done, failed)
		}
	}
	c.ended(j, err)
}

func (c *Coordinator) stopAll(ctx context.Context, job core.JobID, holders []holder) bool {
	stopped := make([]bool, len(holders))
	var wg sync.WaitGroup
	for i, h := range holders {
		wg.Go(func() { stopped[i] = c.stopHolder(ctx, job, h) })
	}
	wg.Wait()
	for _, ok := range stopped {
		if !ok {
			return false
		}
	}
	return true
}

// stopHolder reports whether a holder runs no item of a job any more: it
// confirms, or its lease is over.
func (c *Coordinator) stopHolder(ctx context.Context, job core.JobID, h holder) bool {
	if h.gone {
		return c.lapse(ctx, h)
	}
	ctx, cancel := context.WithTimeout(ctx, c.p.Config.CallTimeout)
	defer cancel()
	var answer CancelAnswer
	err := c.p.Messenger.Call(ctx, h.node, KindCancel, Cancel{Job: job, Session: h.session}, &answer)
	return err == nil && answer.Stopped
}

// lapse deletes a lease row that was unchanged for the lease length. Only the
// condition on its version shows that the holder did not renew it since.
func (c *Coordinator) lapse(ctx context.Context, h holder) bool {
	if h.leaseVersion == 0 {
		return true
	}
	key := records.LeaseKey(h.session)
	_, err := c.p.Store.CommitOnce(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: h.leaseVersion}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	})
	if err == nil {
		c.p.Log.Info("batch lease lapsed", "session", h.session, "node", h.node)
	}
	return err == nil
}
