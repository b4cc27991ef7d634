package results

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/infra"
)

// Selection says which result lines to read.
type Selection uint8

const (
	// All selects every line.
	All Selection = iota
	// Failures selects the lines with an error.
	Failures
)

// ErrExpired means that the retention period of the job has ended.
var ErrExpired = errors.New("the retention period of the batch has ended")

// readTimeout bounds the read of one object, retries included.
const readTimeout = 10 * time.Second

// Reader streams the committed results of jobs and the content of input files.
type Reader struct {
	store *store.Store
}

// NewReader returns a Reader for a store.
func NewReader(st *store.Store) *Reader { return &Reader{store: st} }

// Write streams the committed results of a job in range order. It holds one segment
// in memory at a time. If it fails, some lines may have been written. ErrExpired
// means that the results are being deleted.
func (r *Reader) Write(ctx context.Context, job *records.Job, sel Selection, w io.Writer) error {
	if job.State == records.JobExpired {
		return ErrExpired
	}
	if err := r.write(ctx, job, sel, w); err != nil {
		return err
	}
	return r.checkNotExpired(ctx, job)
}

// checkNotExpired checks that the job did not expire while its results were read.
// Otherwise, range rows that were deleted meanwhile would be missing from the
// results without an error.
func (r *Reader) checkNotExpired(ctx context.Context, job *records.Job) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, err := r.store.Get(ctx, records.JobKey(job.ID))
	if errors.Is(err, infra.ErrNotFound) {
		return ErrExpired
	}
	if err != nil {
		return err
	}
	now, err := records.Decode[records.Job](row.Value)
	if err == nil && (now.State == records.JobExpired || now.ResultPrefix != job.ResultPrefix) {
		err = ErrExpired
	}
	return err
}

func (r *Reader) write(ctx context.Context, job *records.Job, sel Selection, w io.Writer) error {
	return r.store.ForEach(ctx, records.RangeKeyPrefix(job.ID), "", func(row infra.Row) error {
		rng, err := records.Decode[records.Range](row.Value)
		if err != nil {
			return err
		}
		id := row.Key[len(records.RangeKeyPrefix(job.ID)):]
		for _, s := range rng.Segments {
			if sel == Failures && s.Failed == 0 {
				continue
			}
			if err := r.copyObject(ctx, records.SegmentKey(job, id, s), sel, w); err != nil {
				return err
			}
		}
		return nil
	})
}

func (r *Reader) copyObject(ctx context.Context, key string, sel Selection, w io.Writer) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := r.store.GetObject(readCtx, key)
	if err != nil {
		return errors.Wrap(err, "read "+key)
	}
	if sel == Failures {
		if data, err = failureLines(data); err != nil {
			return errors.Wrap(err, "read "+key)
		}
	}
	_, err = w.Write(data)
	return err
}

// failureLines returns the lines of a segment that have an error.
func failureLines(data []byte) ([]byte, error) {
	var out []byte
	for line := range bytes.Lines(data) {
		var l Line
		if err := json.Unmarshal(line, &l); err != nil {
			return nil, err
		}
		if l.Error != nil {
			out = append(out, line...)
		}
	}
	return out, nil
}

// WriteInput streams the lines of an input file. It holds one part in memory at a
// time.
func (r *Reader) WriteInput(ctx context.Context, m *records.Manifest, w io.Writer) error {
	for n := range m.Ranges {
		if err := r.copyObject(ctx, records.PartKey(m.Prefix, n), All, w); err != nil {
			return err
		}
	}
	return nil
}
