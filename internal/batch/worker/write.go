package worker

import (
	"bytes"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// write is one write of a range row with what belongs to it.
type write struct {
	act     ranges.Action
	row     records.Range
	lines   []int // items whose results are committed
	segment *records.Segment
	data    []byte
	armed   int    // of ActIntent
	child   string // range that is split off
	split   *records.Range
}

// begin prepares a write and carries it out. The lock is held.
func (w *Worker) begin(r *openRange, act ranges.Action) {
	r.busy = true
	r.stopSplit = r.stopSplit || w.stopping && act == ranges.ActSplit
	p := r.prepare(act, w.p.Config.IntentWindow)
	w.wg.Go(func() {
		version, err := w.carryOut(r, p)
		w.mu.Lock()
		defer w.mu.Unlock()
		r.busy = false
		if err != nil {
			w.writeFailed(r, err)
			return
		}
		w.written(r, p, version)
	})
}

// prepare builds the new row. Items that are split off or released are not
// startable from here on.
func (r *openRange) prepare(act ranges.Action, window int) *write {
	p := &write{act: act, row: r.row}
	p.row.Writes++
	switch act {
	case ranges.ActIntent:
		p.armed = min(window, len(r.unstarted))
		p.row.Sent = p.row.Sent.With(r.unstarted[:p.armed]...)
	case ranges.ActSplit:
		r.prepareSplit(p)
	case ranges.ActRelease:
		p.row.State = records.RangeReleased
		p.row.Sent = p.row.Sent.Without(r.notSent()...)
		r.unstarted, r.armed = nil, 0
		r.prepareSegment(p)
	case ranges.ActFinish:
		p.row.State = records.RangeDone
		r.prepareSegment(p)
	default:
		r.prepareSegment(p)
	}
	return p
}

// notSent lists the items that were certainly not sent. No item is running:
// what has neither a result nor an entry among the running was not sent.
func (r *openRange) notSent() []int {
	var out []int
	for i := range r.items {
		if r.row.Holds(i) && !r.row.Done.Has(i) && r.lines[i] == nil {
			out = append(out, i)
		}
	}
	return out
}

// prepareSplit moves the unstarted items into a range of their own.
func (r *openRange) prepareSplit(p *write) {
	moved := append([]int(nil), r.unstarted...)
	r.unstarted, r.armed = nil, 0
	rest := make([]int, 0, len(r.items))
	for i := range r.items {
		if r.row.Holds(i) {
			rest = append(rest, i)
		}
	}
	p.child = records.SplitID(r.id, r.row.Splits)
	p.split = &records.Range{State: records.RangeReleased, Items: records.Bitmap(nil).With(moved...)}
	p.row.Whole = false
	p.row.Items = records.Bitmap(nil).With(rest...).Without(moved...)
	p.row.Sent = p.row.Sent.Without(moved...)
	p.row.Splits++
}

// prepareSegment forms the segment of all results that wait.
func (r *openRange) prepareSegment(p *write) {
	if r.finished == 0 {
		return
	}
	r.segments++
	s := records.Segment{Epoch: r.row.Epoch, Number: r.segments}
	var data bytes.Buffer
	data.Grow(int(r.buffered))
	for i, line := range r.lines {
		if line == nil {
			continue
		}
		p.lines = append(p.lines, i)
		data.Write(line)
		s.Items++
		if r.failed[i] {
			s.Failed++
		}
	}
	p.segment, p.data = &s, data.Bytes()
	p.row.Done = p.row.Done.With(p.lines...)
	p.row.Segments = append(p.row.Segments[:len(p.row.Segments):len(p.row.Segments)], s)
}

// carryOut writes the segment object and then commits the row. The lease is
// checked before each attempt.
func (w *Worker) carryOut(r *openRange, p *write) (uint64, error) {
	if p.segment != nil {
		key := records.SegmentKey(&r.job, r.id, *p.segment)
		if err := w.p.Store.Put(r.ctx, key, p.data, r.session.Guard); err != nil {
			return 0, err
		}
	}
	key, jobKey := records.RangeKey(r.job.ID, r.id), records.JobKey(r.job.ID)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: r.version}, {Key: jobKey, Version: r.jobVersion}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(p.row)}},
	}
	if p.split != nil {
		childKey := records.RangeKey(r.job.ID, p.child)
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: childKey})
		txn.Writes = append(txn.Writes, infra.Write{Key: childKey, Value: records.Encode(*p.split)})
	}
	return w.p.Store.Commit(r.ctx, txn, r.session.Guard)
}

// writeFailed gives a range up. The lock is held.
func (w *Worker) writeFailed(r *openRange, err error) {
	reason := "store unavailable until the lease ended"
	if errors.Is(err, infra.ErrConflict) {
		reason = "range or job row changed"
	} else if errors.Is(err, lease.ErrLost) {
		reason = "lease lost"
	}
	w.drop(r, reason)
	w.report(r.job.ID, coordinator.Report{Job: r.job.ID, Range: r.id})
}

// written takes over a row that was written. The lock is held.
func (w *Worker) written(r *openRange, p *write, version uint64) {
	if r.closed {
		return
	}
	r.row, r.version, r.quiet = p.row, version, time.Now()
	r.armed += p.armed
	for _, i := range p.lines {
		n := int64(len(r.lines[i]))
		r.lines[i] = nil
		r.finished--
		r.buffered -= n
		w.buffered -= n
	}
	w.committed(r, p)
	switch p.act {
	case ranges.ActFinish, ranges.ActRelease:
		w.close(r)
	case ranges.ActPartial:
		r.partials++
	case ranges.ActSplit:
		r.behind = false
	}
	w.report(r.job.ID, coordinator.Report{Job: r.job.ID, Range: r.id, Version: version, Row: records.Encode(p.row)})
	if p.split != nil {
		w.report(r.job.ID, coordinator.Report{Job: r.job.ID})
	}
	w.notifyChanged()
}

func (w *Worker) committed(r *openRange, p *write) {
	w.p.Scope.Counter("batch_range_writes_" + p.act.String()).Inc(1)
	if p.act == ranges.ActIntent {
		return
	}
	w.p.Scope.Counter("batch_items_committed").Inc(int64(len(p.lines)))
	w.p.Log.Info("batch range committed", "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch,
		"write", p.act, "items", len(p.lines), "split_off", p.child)
}

// report tells the coordinator of a job about a range. A lost report is made
// up for by a scan.
func (w *Worker) report(job core.JobID, report coordinator.Report) {
	if w.p.Report != nil {
		w.p.Report(job, report)
	}
}
