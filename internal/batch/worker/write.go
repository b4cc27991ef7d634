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

// rangeWrite is a write of a range row, with the segment object and the split-off
// range that belong to it.
type rangeWrite struct {
	act         ranges.WriteAction
	row         records.Range
	resultItems []int // items whose results are committed
	segment     *records.Segment
	data        []byte
	startable   int    // items that become startable by ActIntent
	splitID     string // id of the range that is split off
	splitRow    *records.Range
}

// startWrite prepares a write and commits it in a new goroutine. The caller holds
// w.mu.
func (w *Worker) startWrite(r *openRange, act ranges.WriteAction) {
	r.writing = true
	r.stopSplitDone = r.stopSplitDone || w.stopping && act == ranges.ActSplit
	p := r.prepare(act, w.p.Config.IntentBatchSize)
	w.wg.Go(func() {
		version, err := w.commitWrite(r, p)
		w.mu.Lock()
		defer w.mu.Unlock()
		r.writing = false
		if err != nil {
			w.writeFailed(r, err)
			return
		}
		w.writeSucceeded(r, p, version)
	})
}

// prepare returns the write for an action. Items that the write splits off or
// releases are removed from the unstarted items at once.
func (r *openRange) prepare(act ranges.WriteAction, maxIntents int) *rangeWrite {
	p := &rangeWrite{act: act, row: r.row}
	p.row.WriteCount++
	switch act {
	case ranges.ActIntent:
		p.startable = min(maxIntents, len(r.unstarted))
		p.row.Sent = p.row.Sent.With(r.unstarted[:p.startable]...)
	case ranges.ActSplit:
		r.prepareSplit(p)
	case ranges.ActRelease:
		p.row.State = records.RangeReleased
		p.row.Sent = p.row.Sent.Without(r.unsentItems()...)
		r.unstarted, r.startable = nil, 0
		r.prepareSegment(p)
	case ranges.ActFinish:
		p.row.State = records.RangeDone
		r.prepareSegment(p)
	default:
		r.prepareSegment(p)
	}
	return p
}

// unsentItems returns the items that were certainly not sent: those without a
// result. It must be called only while no item is running.
func (r *openRange) unsentItems() []int {
	var out []int
	for i := range r.items {
		if r.row.Contains(i) && !r.row.Done.Has(i) && r.resultLines[i] == nil {
			out = append(out, i)
		}
	}
	return out
}

// prepareSplit moves the unstarted items into a new range.
func (r *openRange) prepareSplit(p *rangeWrite) {
	moved := append([]int(nil), r.unstarted...)
	r.unstarted, r.startable = nil, 0
	all := make([]int, 0, len(r.items))
	for i := range r.items {
		if r.row.Contains(i) {
			all = append(all, i)
		}
	}
	p.splitID = records.SplitID(r.id, r.row.Splits)
	p.splitRow = &records.Range{State: records.RangeReleased, Items: records.Bitmap(nil).With(moved...)}
	p.row.Whole = false
	p.row.Items = records.Bitmap(nil).With(all...).Without(moved...)
	p.row.Sent = p.row.Sent.Without(moved...)
	p.row.Splits++
}

// prepareSegment builds the segment of all results that are not committed.
func (r *openRange) prepareSegment(p *rangeWrite) {
	if r.finished == 0 {
		return
	}
	r.segmentCount++
	s := records.Segment{Epoch: r.row.Epoch, Number: r.segmentCount}
	var data bytes.Buffer
	data.Grow(int(r.buffered))
	for i, line := range r.resultLines {
		if line == nil {
			continue
		}
		p.resultItems = append(p.resultItems, i)
		data.Write(line)
		s.Items++
		if r.failed[i] {
			s.Failed++
		}
	}
	p.segment, p.data = &s, data.Bytes()
	p.row.Done = p.row.Done.With(p.resultItems...)
	p.row.Segments = append(p.row.Segments[:len(p.row.Segments):len(p.row.Segments)], s)
}

// commitWrite writes the segment object and then commits the range row. It checks
// the lease before each attempt.
func (w *Worker) commitWrite(r *openRange, p *rangeWrite) (uint64, error) {
	if p.segment != nil {
		key := records.SegmentKey(&r.job, r.id, *p.segment)
		if err := w.p.Store.Put(r.ctx, key, p.data, r.session.CheckNotLost); err != nil {
			return 0, err
		}
	}
	key, jobKey := records.RangeKey(r.job.ID, r.id), records.JobKey(r.job.ID)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: r.version}, {Key: jobKey, Version: r.jobVersion}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(p.row)}},
	}
	if p.splitRow != nil {
		splitKey := records.RangeKey(r.job.ID, p.splitID)
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: splitKey})
		txn.Writes = append(txn.Writes, infra.Write{Key: splitKey, Value: records.Encode(*p.splitRow)})
	}
	return w.p.Store.Commit(r.ctx, txn, r.session.CheckNotLost)
}

// writeFailed drops a range whose row could not be written. The caller holds w.mu.
func (w *Worker) writeFailed(r *openRange, err error) {
	reason := "store was unavailable until the lease ended"
	if errors.Is(err, infra.ErrConflict) {
		reason = "range or job row changed"
	} else if errors.Is(err, lease.ErrLost) {
		reason = "lease lost"
	}
	w.dropRange(r, reason)
	w.report(r.job.ID, coordinator.RangeReport{Job: r.job.ID, Range: r.id})
}

// writeSucceeded updates the range after its row was written. The caller holds w.mu.
func (w *Worker) writeSucceeded(r *openRange, p *rangeWrite, version uint64) {
	if r.closed {
		return
	}
	r.row, r.version, r.lastActivity = p.row, version, time.Now()
	r.startable += p.startable
	for _, i := range p.resultItems {
		n := int64(len(r.resultLines[i]))
		r.resultLines[i] = nil
		r.finished--
		r.buffered -= n
		w.buffered -= n
	}
	w.recordCommit(r, p)
	switch p.act {
	case ranges.ActFinish, ranges.ActRelease:
		w.close(r)
	case ranges.ActPartial:
		r.partialCommits++
	case ranges.ActSplit:
		r.splitRequested = false
	}
	w.report(r.job.ID, coordinator.RangeReport{Job: r.job.ID, Range: r.id, Version: version, Row: records.Encode(p.row)})
	if p.splitRow != nil {
		w.report(r.job.ID, coordinator.RangeReport{Job: r.job.ID})
	}
	w.notifyChanged()
}

func (w *Worker) recordCommit(r *openRange, p *rangeWrite) {
	w.p.Scope.Counter("batch_range_writes_" + p.act.String()).Inc(1)
	if p.act == ranges.ActIntent {
		return
	}
	w.p.Scope.Counter("batch_items_committed").Inc(int64(len(p.resultItems)))
	w.p.Log.Info("batch range committed", "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch,
		"write", p.act, "items", len(p.resultItems), "split_off", p.splitID)
}

// report informs the coordinator of a job about a range. If the report is lost, a
// scan of the coordinator finds the change.
func (w *Worker) report(job core.JobID, report coordinator.RangeReport) {
	if w.p.Report != nil {
		w.p.Report(job, report)
	}
}
