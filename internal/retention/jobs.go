package retention

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/infra"
)

// jobDeleter deletes jobs with their ranges and results.
type jobDeleter struct{}

func (jobDeleter) deletePage(ctx context.Context, s *sweeper, rows []infra.Row) (done bool) {
	for _, row := range rows {
		job, err := records.Decode[records.Job](row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
			continue
		}
		action := JobAction(&job, s.options.Now(), s.settings())
		if action == ActionKeep {
			continue
		}
		if !s.owned() {
			return true
		}
		d := jobDeletion{sweeper: s, job: job, version: row.Version}
		s.handleError(ctx, d.run(ctx, action))
	}
	return false
}

// jobDeletion deletes one job and counts what belonged to it.
type jobDeletion struct {
	*sweeper
	job     records.Job
	version uint64 // of the job row
	ranges  int
	objects int
}

func (d *jobDeletion) run(ctx context.Context, action Action) error {
	if action == ActionMark {
		if err := d.mark(ctx); err != nil {
			return err
		}
	}
	if err := d.deleteRanges(ctx); err != nil {
		return err
	}
	if err := d.finish(ctx); err != nil {
		return err
	}
	d.counts.jobs.Add(1)
	d.counts.rows.Add(1)
	d.options.Logger.Info("batch job deleted", "job", d.job.ID, "org", d.job.Org, "ended", d.job.EndedAt,
		"items", d.job.Items, "ranges", d.ranges, "objects", d.objects)
	return nil
}

// mark marks the job row as expired.
func (d *jobDeletion) mark(ctx context.Context) error {
	d.job.State = records.JobExpired
	key := records.JobKey(d.job.ID)
	version, err := d.client.commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: d.version}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(d.job)}},
	})
	d.version = version
	return err
}

// deleteRanges deletes the objects and then the rows of the ranges, a page at
// a time. The job row is marked as expired, so no claim or commit can write a
// range row. The deletion is also conditional on the version of the job row: if
// another owner has already deleted the job, the range rows may belong to a
// later job with the same key.
func (d *jobDeletion) deleteRanges(ctx context.Context) error {
	prefix := records.RangeKeyPrefix(d.job.ID)
	marked := infra.Condition{Key: records.JobKey(d.job.ID), Version: d.version}
	for {
		rows, err := d.client.scan(ctx, prefix, "", d.options.Config.PageRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, row := range rows {
			if err := d.deleteSegments(ctx, row.Key[len(prefix):], row.Value); err != nil {
				return err
			}
		}
		deleted, err := d.client.deleteRows(ctx, rows, marked)
		d.ranges += deleted
		d.counts.rows.Add(int64(deleted))
		if err == nil && deleted < len(rows) {
			err = infra.ErrConflict // another owner deletes the job
		}
		if err != nil {
			return err
		}
	}
}

func (d *jobDeletion) deleteSegments(ctx context.Context, id string, value []byte) error {
	r, err := records.Decode[records.Range](value)
	if err != nil {
		return err
	}
	for _, key := range Segments(&d.job, id, &r) {
		if err := d.client.deleteObject(ctx, key); err != nil {
			return err
		}
		d.objects++
	}
	return nil
}

// finish deletes the job row and releases the input file in one transaction. If
// another job is accepted for the file in the meantime, the row of the file
// changes, the transaction fails with a conflict, and the next sweep tries again.
func (d *jobDeletion) finish(ctx context.Context) error {
	key, fileKey := records.JobKey(d.job.ID), records.FileKey(d.job.File)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: d.version}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	}
	row, err := d.client.get(ctx, fileKey)
	if err != nil {
		return err
	}
	if row.Version > 0 {
		m, err := records.Decode[records.Manifest](row.Value)
		if err != nil {
			return errors.Wrap(err, "decode the file row of job "+string(d.job.ID))
		}
		m = ReleaseFile(m, d.options.Now(), d.settings())
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: fileKey, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{Key: fileKey, Value: records.Encode(m)})
	}
	_, err = d.client.commit(ctx, txn)
	return err
}
