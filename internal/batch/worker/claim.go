package worker

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/coordinator"
	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// ask asks the next coordinator for a range if there is room. The lock is held.
func (w *Worker) ask() {
	want := w.node().Want(w.p.Config)
	if want == ranges.WantNone || w.asking || len(w.sources) == 0 {
		return
	}
	ask := coordinator.Ask{Ranges: 1}
	if want == ranges.WantOther {
		ask.Except = w.jobs()
	}
	w.asking = true
	source := w.sources[0]
	w.sources = w.sources[1:]
	w.wg.Go(func() { w.askSource(source, ask) })
}

// jobs lists the jobs of the open ranges. The lock is held.
func (w *Worker) jobs() []core.JobID {
	var out []core.JobID
	for _, r := range w.ranges {
		if !slices.Contains(out, r.job.ID) {
			out = append(out, r.job.ID)
		}
	}
	return out
}

func (w *Worker) askSource(source core.NodeID, ask coordinator.Ask) {
	ctx, cancel := context.WithTimeout(w.ctx, w.p.Config.CallTimeout)
	defer cancel()
	var answer coordinator.Answer
	err := w.p.Messenger.Call(ctx, source, coordinator.KindAsk, ask, &answer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking = false
	if err == nil && len(answer.Offers) > 0 {
		w.addSource(source)
		for _, o := range answer.Offers {
			w.claiming++
			w.wg.Go(func() { w.claim(o) })
		}
	}
	w.signal()
}

// addSource remembers a coordinator that has work. The lock is held.
func (w *Worker) addSource(id core.NodeID) {
	for _, s := range w.sources {
		if s == id {
			return
		}
	}
	w.sources = append(w.sources, id)
}

// claim claims an offered range and opens it.
func (w *Worker) claim(o coordinator.Offer) {
	r, err := w.tryClaim(o)
	w.mu.Lock()
	w.claiming--
	if err == nil {
		w.open(r)
	} else {
		w.report(o.Job, coordinator.Report{Job: o.Job, Range: o.Range})
	}
	w.notifyChanged()
	w.mu.Unlock()
	if err == nil {
		w.load(r)
	}
}

func (w *Worker) tryClaim(o coordinator.Offer) (*openRange, error) {
	job, err := records.Decode[records.Job](o.JobRow)
	if err != nil {
		return nil, err
	}
	row := records.Range{Whole: true}
	if o.Version > 0 {
		if row, err = records.Decode[records.Range](o.Row); err != nil {
			return nil, err
		}
	}
	session, err := w.p.Keeper.Acquire(w.ctx)
	if err != nil {
		return nil, err
	}
	row.Node, row.Session, row.State = w.p.Messenger.Self(), session.ID, records.RangeClaimed
	row.Claim = w.claims.Add(1)
	row.Epoch++
	row.Writes++
	version, err := w.p.Store.Commit(session.Context(), claimTxn(&o, row), session.Guard)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r := &openRange{
		job: job, jobVersion: o.JobVersion, id: o.Range, row: row, version: version,
		session: session, since: now, quiet: now,
	}
	r.ctx, r.cancel = context.WithCancel(session.Context())
	w.logClaim(&o, r)
	return r, nil
}

// claimTxn builds the transaction of a claim. A take-over also ends the lease
// of the session that held the range.
func claimTxn(o *coordinator.Offer, row records.Range) infra.Txn {
	key := records.RangeKey(o.Job, o.Range)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: o.Version}, {Key: records.JobKey(o.Job), Version: o.JobVersion}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(row)}},
	}
	if o.Lapsed != "" {
		leaseKey := records.LeaseKey(o.Lapsed)
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: leaseKey, Version: o.LeaseVersion})
		if o.LeaseVersion > 0 {
			txn.Writes = append(txn.Writes, infra.Write{Key: leaseKey, Delete: true})
		}
	}
	return txn
}

func (w *Worker) logClaim(o *coordinator.Offer, r *openRange) {
	event := "batch range claimed"
	if o.Lapsed != "" {
		event = "batch range taken over"
		w.p.Scope.Counter("batch_ranges_taken_over").Inc(1)
	}
	w.p.Scope.Counter("batch_ranges_claimed").Inc(1)
	w.p.Log.Info(event, "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch, "session", r.session.ID, "from", o.Lapsed)
}

// open adds a claimed range unless its job was cancelled. The lock is held.
func (w *Worker) open(r *openRange) {
	r.itemCtx = joined(r.ctx, w.itemCtx)
	w.ranges = append(w.ranges, r)
	context.AfterFunc(r.ctx, w.signal)
	w.report(r.job.ID, coordinator.Report{Job: r.job.ID, Range: r.id, Version: r.version, Row: records.Encode(r.row)})
	if _, ok := w.cancelled[r.job.ID]; ok {
		w.drop(r, "job cancelled")
	}
}

// joined returns a context that ends with a or with b.
func joined(a, b context.Context) context.Context {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	context.AfterFunc(a, func() { stop() })
	return ctx
}

// load reads the items of a claimed range.
func (w *Worker) load(r *openRange) {
	data, err := w.p.Store.GetObject(r.ctx, records.PartKey(r.job.PartPrefix, records.Part(r.id)))
	var items []batch.Item
	if err == nil {
		items, err = r.parse(data)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.closed || r.busy { // given up before it was read
		return
	}
	if err != nil {
		// Without its input the range cannot be run. It is held, so that it is
		// not claimed over and over, and dropped when the node stops.
		if errors.Is(err, infra.ErrUnavailable) {
			w.drop(r, "input unavailable until the lease ended")
			return
		}
		w.p.Log.Error("batch input is missing or damaged", "job", r.job.ID, "range", r.id, "error", err)
		r.unreadable = true
		return
	}
	r.load(items)
	w.buffered += r.buffered
	w.signal()
}

// parse reads the items of an input part.
func (r *openRange) parse(data []byte) ([]batch.Item, error) {
	var items []batch.Item
	for raw := range bytes.Lines(data) {
		line, err := intake.ParseLine(raw)
		if err != nil {
			return nil, errors.Wrapf(err, "item %d", len(items))
		}
		items = append(items, batch.Item{
			ID:  fmt.Sprintf("batch_req_%s-%d-%d", r.job.ID, records.Part(r.id), len(items)),
			Job: r.job.ID, Org: r.job.Org, Index: len(items), CustomID: line.CustomID,
			Method: line.Method, URL: line.URL, Body: line.Body,
			NonIdempotent: r.job.NonIdempotent, Due: r.job.Due,
		})
	}
	return items, nil
}
