package jobs

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// sweepEvery is the time between looks for jobs whose time is over.
	sweepEvery = 10 * time.Second
	// sweepMargin is added to the time for which a job stays readable: a reader
	// may count from the answer to a later resend of it.
	sweepMargin = time.Minute
	// sweepJobs bounds the jobs that one look deletes, to spare the store.
	sweepJobs = 20
	// deleteRows bounds the rows of one deleting transaction.
	deleteRows = 90
)

// sweeper deletes jobs that nobody may read any more.
type sweeper struct {
	store *store
	book  *Book
	take  *takeover
	clock func() (time.Duration, bool)
	// keep is how long after its submission an ended job stays readable.
	keep time.Duration
}

// sweep deletes ended jobs that fall to this node. Each job falls to one node,
// as in takeover; a second one finds nothing to delete.
func (s *sweeper) sweep(ctx context.Context, view *nodes.View) {
	clock, ok := s.clock()
	if !ok || s.keep <= 0 {
		return
	}
	old := s.book.All(func(e *Entry) bool {
		return e.State != StateOpen && clock > e.Accepted+s.keep+sweepMargin && s.take.mine(e.ID, view)
	})
	for i := range old[:min(len(old), sweepJobs)] {
		if err := s.remove(ctx, &old[i]); err != nil {
			s.take.runner.log.Info("job not deleted", "job", old[i].ID, "error", err)
			return
		}
		s.take.runner.log.Info("job deleted", "job", old[i].ID, "state", string(old[i].State))
	}
}

// remove deletes a job's objects, its results and, last, its row: what is left
// after a failure is found again by the row.
func (s *sweeper) remove(ctx context.Context, e *Entry) error {
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
	for rows := set.Rows; len(rows) > 0; rows = rows[min(len(rows), deleteRows):] {
		var txn infra.RowTxn
		for _, row := range rows[:min(len(rows), deleteRows)] {
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
