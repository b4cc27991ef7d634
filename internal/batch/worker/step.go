package worker

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/core"
)

// step checks all open ranges and does what is due: it drops lost ranges, starts
// writes and items, and requests ranges.
func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropLostRanges()
	w.startDueWrites(now)
	w.startItems(now)
	w.requestRange()
	w.closeIdleSession(now)
	w.pruneCancelled(now)
}

// dropLostRanges drops the ranges of sessions that are lost.
func (w *Worker) dropLostRanges() {
	for _, r := range append([]*openRange(nil), w.ranges...) {
		if r.session.State() == lease.Lost {
			w.dropRange(r, "lease lost")
		}
	}
}

// dropRange closes a range that this node may not work on any more. The caller
// holds w.mu.
func (w *Worker) dropRange(r *openRange, reason string) {
	if r.closed {
		return
	}
	w.p.Scope.Counter("batch_ranges_fenced").Inc(1)
	w.p.Log.Warn("batch range fenced", "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch, "reason", reason,
		"finished", r.finished, "running", r.running)
	w.close(r)
}

// close removes a range and stops its items. The caller holds w.mu.
func (w *Worker) close(r *openRange) {
	if r.closed {
		return
	}
	r.closed = true
	r.cancel()
	w.buffered -= r.buffered
	r.buffered = 0
	for i, other := range w.ranges {
		if other == r {
			w.ranges = append(w.ranges[:i:i], w.ranges[i+1:]...)
			break
		}
	}
	w.notifyChanged()
}

// status returns the state from which starts and claims are decided.
func (w *Worker) status() ranges.WorkerStatus {
	s := ranges.WorkerStatus{Running: w.running, BufferedBytes: w.buffered, HeldRanges: len(w.ranges) + w.pendingClaims, Stopping: w.stopping}
	s.LoadingRanges = w.pendingClaims
	for _, r := range w.ranges {
		s.Unstarted += len(r.unstarted)
		if !r.loaded {
			s.LoadingRanges++
		}
	}
	return s
}

// startDueWrites starts the writes of range rows that are due.
func (w *Worker) startDueWrites(now time.Time) {
	status := w.status()
	flush := w.flushTarget(status)
	for _, r := range append([]*openRange(nil), w.ranges...) {
		if r.writing || r.closed {
			continue
		}
		if !r.loaded {
			if w.stopping {
				w.startWrite(r, ranges.ActRelease)
			}
			continue
		}
		s := r.rangeStatus()
		s.Stopping, s.Flush = w.stopping, r == flush
		s.MayStart = status.MayStart(w.p.Config) && r.session.State() == lease.Fresh
		if act := ranges.NextWrite(s, now, w.p.Config); act != ranges.ActNone {
			w.startWrite(r, act)
		}
	}
}

// flushTarget returns the range with the most bytes of uncommitted results if
// results should be committed to free memory, and nil otherwise.
func (w *Worker) flushTarget(status ranges.WorkerStatus) *openRange {
	if !status.NeedsFlush(w.p.Config) {
		return nil
	}
	var best *openRange
	for _, r := range w.ranges {
		if best == nil || r.buffered > best.buffered {
			best = r
		}
	}
	return best
}

// startItems starts items while the worker may start more.
func (w *Worker) startItems(now time.Time) {
	for w.status().MayStart(w.p.Config) {
		candidates, from := w.candidates()
		best := ranges.ChooseStart(candidates, now, w.p.Config)
		if best < 0 {
			return
		}
		w.startItem(from[best], from[best].takeNext())
	}
}

// candidates returns the ranges that have startable items.
func (w *Worker) candidates() (candidates []ranges.StartCandidate, from []*openRange) {
	running := make(map[core.Org]int)
	for _, r := range w.ranges {
		running[r.job.Org] += r.running
	}
	for _, r := range w.ranges {
		if r.startable == 0 || r.session.State() != lease.Fresh {
			continue
		}
		candidates = append(candidates, ranges.StartCandidate{
			EstimatedTokens: r.estimatedTokens[r.unstarted[0]], ClaimedAt: r.claimedAt, Due: r.job.Due,
			TakenOver: r.row.Epoch > 1,
			Running:   running[r.job.Org], Weight: w.p.Weight(r.job.Org),
		})
		from = append(from, r)
	}
	return candidates, from
}

// closeIdleSession closes a session that has held no range for the lease duration,
// so that an idle node does not renew a lease.
func (w *Worker) closeIdleSession(now time.Time) {
	if len(w.ranges)+w.pendingClaims+w.running > 0 || w.requesting || w.closingSession || w.p.Leases.Current() == nil {
		w.idleSince = now
		return
	}
	if w.stopping || now.Sub(w.idleSince) < w.p.Config.LeaseDuration {
		return
	}
	w.closingSession = true
	w.wg.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, w.p.Config.CallTimeout)
		defer cancel()
		// If the row cannot be deleted, the lease expires.
		_ = w.p.Leases.Close(ctx)
		w.mu.Lock()
		w.closingSession = false
		w.mu.Unlock()
		w.wakeLoop()
	})
}

// pruneCancelled removes cancelled jobs for which no claim can be in progress any
// more.
func (w *Worker) pruneCancelled(now time.Time) {
	for id, at := range w.cancelled {
		if now.Sub(at) > 4*w.p.Config.LeaseDuration {
			delete(w.cancelled, id)
		}
	}
}
