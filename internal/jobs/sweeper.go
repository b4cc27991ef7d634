package jobs

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// sweepInterval is the time between sweeps for expired jobs.
	sweepInterval = 10 * time.Second
	// sweepMargin is added to the retention time of a job, because a caller that
	// submitted the job again may count from the later answer.
	sweepMargin = time.Minute
	// maxSweepJobs bounds the jobs that one sweep deletes, to limit the load on
	// the store.
	maxSweepJobs = 20
	// maxDeleteRows bounds the rows that one transaction deletes.
	maxDeleteRows = 90
)

// sweeper deletes ended jobs after their retention time.
type sweeper struct {
	store   *store
	cache   *JobCache
	claimer *orphanClaimer
	clock   func() (time.Duration, bool)
	// retention is how long an ended job is kept after its submission.
	retention time.Duration
}

// sweep deletes the expired jobs that are assigned to this node. Jobs are
// assigned to nodes as in orphanClaimer. If two nodes delete the same job, the
// second one finds nothing to delete.
func (s *sweeper) sweep(ctx context.Context, view *nodes.View) {
	clock, ok := s.clock()
	if !ok || s.retention <= 0 {
		return
	}
	expired := s.cache.Select(func(e *Entry) bool {
		return e.State != StateOpen && clock > e.Accepted+s.retention+sweepMargin && s.claimer.assignedHere(e.ID, view)
	})
	for i := range expired[:min(len(expired), maxSweepJobs)] {
		if err := s.deleteJob(ctx, &expired[i]); err != nil {
			s.claimer.runner.log.Info("job could not be deleted", "job", expired[i].ID, "error", err)
			return
		}
		s.claimer.runner.log.Info("job deleted", "job", expired[i].ID, "state", string(expired[i].State))
	}
}

// deleteJob deletes a job's objects, then its results and finally its row. While
// the row exists, a later sweep can find and delete what a failed one left.
func (s *sweeper) deleteJob(ctx context.Context, e *Entry) error {
	set, err := s.store.table.Range(ctx, resultRange(e.ID, 0))
	if err != nil {
		return err
	}
	results, err := decodeResults(e.ID, 0, set.Rows)
	if err != nil {
		return err
	}
	objects := []string{e.Object}
	for i := range results {
		if results[i].Object != "" {
			objects = append(objects, results[i].Object)
		}
	}
	for _, object := range objects {
		if err := s.store.objects.Delete(ctx, object); err != nil {
			return err
		}
	}
	for rows := set.Rows; len(rows) > 0; rows = rows[min(len(rows), maxDeleteRows):] {
		var txn infra.RowTxn
		for _, row := range rows[:min(len(rows), maxDeleteRows)] {
			txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: row.RowKey, Delete: true})
		}
		if _, err := s.store.table.CommitRows(ctx, txn); err != nil {
			return err
		}
	}
	key := jobKey(e.ID)
	_, err = s.store.table.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: key, Version: e.Version}},
		Writes:     []infra.RowWrite{{RowKey: key, Delete: true}},
	})
	return err
}
