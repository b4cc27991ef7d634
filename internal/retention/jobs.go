package retention

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/infra"
)

// jobs are the jobs with their ranges and results.
type jobs struct{}

func (jobs) page(ctx context.Context, s *sweep, rows []infra.Row) (last bool) {
	for _, row := range rows {
		job, err := records.Decode[records.Job](row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
			continue
		}
		step := JobStep(&job, s.o.Now(), s.settings())
		if step == StepKeep {
			continue
		}
		if !s.owned() {
			return true
		}
		d := jobDeletion{sweep: s, job: job, version: row.Version}
		s.note(ctx, d.run(ctx, step))
	}
	return false
}

// jobDeletion is the deletion of one job.
type jobDeletion struct {
	*sweep
	job     records.Job
	version uint64 // of the job row
	ranges  int
	objects int
}

func (d *jobDeletion) run(ctx context.Context, step Step) error {
	if step == StepMark {
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
	d.o.Logger.Info("batch job deleted", "job", d.job.ID, "org", d.job.Org, "ended", d.job.EndedAt,
		"items", d.job.Items, "ranges", d.ranges, "objects", d.objects)
	return nil
}

func (d *jobDeletion) mark(ctx context.Context) error {
	d.job.State = records.JobExpired
	key := records.JobKey(d.job.ID)
	version, err := d.access.commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: d.version}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(d.job)}},
	})
	d.version = version
	return err
}

// deleteRanges deletes the objects and then the rows of the ranges, a page at
// a time. The job row is marked: no claim or commit can write a range row. The
// rows are deleted on condition of the job row too: if another owner was
// faster, they may belong to a later job with the same key.
func (d *jobDeletion) deleteRanges(ctx context.Context) error {
	prefix := records.RangePrefix(d.job.ID)
	marked := infra.Condition{Key: records.JobKey(d.job.ID), Version: d.version}
	for {
		rows, err := d.access.scan(ctx, prefix, "", d.o.Config.PageRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		for _, row := range rows {
			if err := d.deleteSegments(ctx, row.Key[len(prefix):], row.Value); err != nil {
				return err
			}
		}
		gone, err := d.access.deleteRows(ctx, rows, marked)
		d.ranges += gone
		d.counts.rows.Add(int64(gone))
		if err == nil && gone < len(rows) {
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
		if err := d.access.deleteObject(ctx, key); err != nil {
			return err
		}
		d.objects++
	}
	return nil
}

// finish deletes the job row and gives the input file up. A job that is
// accepted for the file meanwhile changes the row of the file, and the next
// sweep tries again.
func (d *jobDeletion) finish(ctx context.Context) error {
	key, fileKey := records.JobKey(d.job.ID), records.FileKey(d.job.File)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: d.version}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	}
	row, err := d.access.get(ctx, fileKey)
	if err != nil {
		return err
	}
	if row.Version > 0 {
		m, err := records.Decode[records.Manifest](row.Value)
		if err != nil {
			return errors.Wrap(err, "file of job "+string(d.job.ID))
		}
		m = ReleaseFile(m, d.o.Now(), d.settings())
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: fileKey, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{Key: fileKey, Value: records.Encode(m)})
	}
	_, err = d.access.commit(ctx, txn)
	return err
}
