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

// errRangeNotDone means that a job has a range that is not done.
var errRangeNotDone = errors.New("range not done")

// endJobs starts to complete the jobs whose ranges are all done, and starts or
// retries cancellations.
func (c *Coordinator) endJobs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.ending || j.rangesReadVersion != j.version {
			continue
		}
		row, version := j.row, j.version // a concurrent scan may replace them
		switch {
		case j.complete():
			j.ending = true
			c.wg.Go(func() { c.completeJob(c.ctx, j, row, version) })
		case j.row.State == records.JobCancelling:
			j.ending = true
			holders := j.holders()
			c.wg.Go(func() { c.cancelJob(c.ctx, j, row, version, holders) })
		}
	}
}

// completeJob writes the final job row if the range rows show that all items have
// results.
func (c *Coordinator) completeJob(ctx context.Context, j *jobInfo, job records.Job, version uint64) {
	done, failed, err := c.countResults(ctx, &job, true)
	if err == nil && done == job.Items {
		job.State = records.JobCompleted
		err = c.writeFinalState(ctx, j, job, version, done, failed)
	} else if err == nil {
		c.p.Log.Error("batch job has ranges that are done but lack results", "job", job.ID, "items", job.Items, "results", done)
	}
	c.allowNextAttempt(j, err)
}

// countResults counts the committed results of a job. If all is set, it returns
// errRangeNotDone unless every range is done. The scan cannot miss a range: a range
// that was split off is written in one transaction with its parent and follows it
// in key order, so a scan that reads a parent as done reads its split-off ranges
// later.
func (c *Coordinator) countResults(ctx context.Context, job *records.Job, all bool) (done, failed int, err error) {
	first := 0
	prefix := records.RangeKeyPrefix(job.ID)
	err = c.p.Store.ForEach(ctx, prefix, "", func(row infra.Row) error {
		r, err := records.Decode[records.Range](row.Value)
		if err != nil {
			return err
		}
		if all && r.State != records.RangeDone {
			return errRangeNotDone
		}
		if row.Key == prefix+records.RangeID(first) {
			first++
		}
		n, f := r.Counts()
		done, failed = done+n, failed+f
		return nil
	})
	if err == nil && all && first != job.Ranges {
		err = errRangeNotDone
	}
	return done, failed, err
}

// writeFinalState writes the final state of a job and deletes its index row.
func (c *Coordinator) writeFinalState(ctx context.Context, j *jobInfo, job records.Job, version uint64, done, failed int) error {
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

// allowNextAttempt lets the next scan try again to end a job.
func (c *Coordinator) allowNextAttempt(j *jobInfo, err error) {
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
	expired      bool
	leaseVersion uint64
}

// holders returns the sessions that hold ranges of a job. The changed job row
// prevents new claims, so range rows that were read after the change show all
// holders.
func (j *jobInfo) holders() []holder {
	seen := make(map[string]bool)
	var out []holder
	for _, id := range j.rangeIDs[j.firstOpen:] {
		r := j.ranges[id]
		if r.row.State != records.RangeClaimed || seen[r.row.Session] {
			continue
		}
		seen[r.row.Session] = true
		out = append(out, holder{node: r.row.Node, session: r.row.Session, expired: r.holder.Expired, leaseVersion: r.holder.Version})
	}
	return out
}

// cancelJob stops all holders and then writes the job row. If a holder does not
// confirm and its lease has not expired, the next scan tries again.
func (c *Coordinator) cancelJob(ctx context.Context, j *jobInfo, job records.Job, version uint64, holders []holder) {
	var err error
	if c.stopHolders(ctx, job.ID, holders) {
		var done, failed int
		if done, failed, err = c.countResults(ctx, &job, false); err == nil {
			job.State = records.JobCancelled
			err = c.writeFinalState(ctx, j, job, version, done, failed)
		}
	}
	c.allowNextAttempt(j, err)
}

func (c *Coordinator) stopHolders(ctx context.Context, job core.JobID, holders []holder) bool {
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

// stopHolder asks a holder to stop the items of a job. It returns true if the
// holder confirmed this or its lease has ended.
func (c *Coordinator) stopHolder(ctx context.Context, job core.JobID, h holder) bool {
	if h.expired {
		return c.deleteLease(ctx, h)
	}
	ctx, cancel := context.WithTimeout(ctx, c.p.Config.CallTimeout)
	defer cancel()
	var resp CancelResponse
	err := c.p.Messenger.Call(ctx, h.node, KindCancelRequest, CancelRequest{Job: job, Session: h.session}, &resp)
	return err == nil && resp.Stopped
}

// deleteLease deletes the row of an expired lease and reports whether the lease
// has ended. The condition on the row version ensures that the holder has not
// renewed the lease in the meantime.
func (c *Coordinator) deleteLease(ctx context.Context, h holder) bool {
	if h.leaseVersion == 0 {
		return true
	}
	key := records.LeaseKey(h.session)
	_, err := c.p.Store.CommitOnce(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: h.leaseVersion}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	})
	if err == nil {
		c.p.Log.Info("batch lease expired and was deleted", "session", h.session, "node", h.node)
	}
	return err == nil
}
