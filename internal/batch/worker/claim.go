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

// requestRange asks the next coordinator for a range if the worker may claim one.
// The caller holds w.mu.
func (w *Worker) requestRange() {
	scope := w.status().ClaimScope(w.p.Config)
	if scope == ranges.ClaimNone || w.requesting || len(w.coordinators) == 0 {
		return
	}
	req := coordinator.RangeRequest{MaxRanges: 1}
	if scope == ranges.ClaimOtherJobs {
		req.ExcludeJobs = w.openJobs()
	}
	w.requesting = true
	coordinatorID := w.coordinators[0]
	w.coordinators = w.coordinators[1:]
	w.wg.Go(func() { w.requestFrom(coordinatorID, req) })
}

// openJobs returns the jobs of the open ranges. The caller holds w.mu.
func (w *Worker) openJobs() []core.JobID {
	var out []core.JobID
	for _, r := range w.ranges {
		if !slices.Contains(out, r.job.ID) {
			out = append(out, r.job.ID)
		}
	}
	return out
}

func (w *Worker) requestFrom(coordinatorID core.NodeID, req coordinator.RangeRequest) {
	ctx, cancel := context.WithTimeout(w.ctx, w.p.Config.CallTimeout)
	defer cancel()
	var resp coordinator.RangeResponse
	err := w.p.Messenger.Call(ctx, coordinatorID, coordinator.KindRangeRequest, req, &resp)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requesting = false
	if err == nil && len(resp.Offers) > 0 {
		w.addCoordinator(coordinatorID)
		for _, o := range resp.Offers {
			w.pendingClaims++
			w.wg.Go(func() { w.claim(o) })
		}
	}
	w.wakeLoop()
}

// addCoordinator records a coordinator that has work available. The caller holds
// w.mu.
func (w *Worker) addCoordinator(id core.NodeID) {
	for _, c := range w.coordinators {
		if c == id {
			return
		}
	}
	w.coordinators = append(w.coordinators, id)
}

// claim claims an offered range, adds it to the open ranges and reads its items.
func (w *Worker) claim(o coordinator.Offer) {
	r, err := w.commitClaim(o)
	w.mu.Lock()
	w.pendingClaims--
	if err == nil {
		w.addRange(r)
	} else {
		w.report(o.Job, coordinator.RangeReport{Job: o.Job, Range: o.Range})
	}
	w.notifyChanged()
	w.mu.Unlock()
	if err == nil {
		w.loadRange(r)
	}
}

func (w *Worker) commitClaim(o coordinator.Offer) (*openRange, error) {
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
	session, err := w.p.Leases.Acquire(w.ctx)
	if err != nil {
		return nil, err
	}
	row.Node, row.Session, row.State = w.p.Messenger.Self(), session.ID, records.RangeClaimed
	row.ClaimNumber = w.claims.Add(1)
	row.Epoch++
	row.WriteCount++
	version, err := w.p.Store.Commit(session.Context(), claimTxn(&o, row), session.CheckNotLost)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r := &openRange{
		job: job, jobVersion: o.JobVersion, id: o.Range, row: row, version: version,
		session: session, claimedAt: now, lastActivity: now,
	}
	r.ctx, r.cancel = context.WithCancel(session.Context())
	w.logClaim(&o, r)
	return r, nil
}

// claimTxn returns the transaction that claims a range. A takeover also deletes
// the lease row of the session that held the range.
func claimTxn(o *coordinator.Offer, row records.Range) infra.Txn {
	key := records.RangeKey(o.Job, o.Range)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: o.Version}, {Key: records.JobKey(o.Job), Version: o.JobVersion}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(row)}},
	}
	if o.ExpiredSession != "" {
		leaseKey := records.LeaseKey(o.ExpiredSession)
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: leaseKey, Version: o.LeaseVersion})
		if o.LeaseVersion > 0 {
			txn.Writes = append(txn.Writes, infra.Write{Key: leaseKey, Delete: true})
		}
	}
	return txn
}

func (w *Worker) logClaim(o *coordinator.Offer, r *openRange) {
	event := "batch range claimed"
	if o.ExpiredSession != "" {
		event = "batch range taken over"
		w.p.Scope.Counter("batch_ranges_taken_over").Inc(1)
	}
	w.p.Scope.Counter("batch_ranges_claimed").Inc(1)
	w.p.Log.Info(event, "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch, "session", r.session.ID, "from", o.ExpiredSession)
}

// addRange adds a claimed range to the open ranges, and drops it again if its job
// was cancelled. The caller holds w.mu.
func (w *Worker) addRange(r *openRange) {
	r.itemCtx = mergeContexts(r.ctx, w.itemCtx)
	w.ranges = append(w.ranges, r)
	context.AfterFunc(r.ctx, w.wakeLoop)
	w.report(r.job.ID, coordinator.RangeReport{Job: r.job.ID, Range: r.id, Version: r.version, Row: records.Encode(r.row)})
	if _, ok := w.cancelled[r.job.ID]; ok {
		w.dropRange(r, "job cancelled")
	}
}

// mergeContexts returns a context that ends when a or b ends.
func mergeContexts(a, b context.Context) context.Context {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	context.AfterFunc(a, func() { stop() })
	return ctx
}

// loadRange reads the items of a claimed range from the object store.
func (w *Worker) loadRange(r *openRange) {
	data, err := w.p.Store.GetObject(r.ctx, records.PartKey(r.job.PartPrefix, records.PartNumber(r.id)))
	var items []batch.Item
	if err == nil {
		items, err = r.parseItems(data)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.closed || r.writing { // dropped, or being released, before its items were read
		return
	}
	if err != nil {
		// The range cannot be executed without its input. If the input is missing or
		// damaged, the range is held until the node stops, so that it is not claimed
		// again and again.
		if errors.Is(err, infra.ErrUnavailable) {
			w.dropRange(r, "input object was unavailable until the lease ended")
			return
		}
		w.p.Log.Error("batch input is missing or damaged", "job", r.job.ID, "range", r.id, "error", err)
		r.unreadable = true
		return
	}
	r.setItems(items)
	w.buffered += r.buffered
	w.wakeLoop()
}

// parseItems decodes the items of an input part.
func (r *openRange) parseItems(data []byte) ([]batch.Item, error) {
	var items []batch.Item
	for raw := range bytes.Lines(data) {
		line, err := intake.ParseLine(raw)
		if err != nil {
			return nil, errors.Wrapf(err, "item %d", len(items))
		}
		items = append(items, batch.Item{
			ID:  fmt.Sprintf("batch_req_%s-%d-%d", r.job.ID, records.PartNumber(r.id), len(items)),
			Job: r.job.ID, Org: r.job.Org, Index: len(items), CustomID: line.CustomID,
			Method: line.Method, URL: line.URL, Body: line.Body,
			NonIdempotent: r.job.NonIdempotent, Due: r.job.Due,
		})
	}
	return items, nil
}
