package worker

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/core"
)

// step looks at all ranges and does what the decisions say.
func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropLost()
	w.write(now)
	w.start(now)
	w.ask()
	w.closeIdle(now)
	w.prune(now)
}

// dropLost drops the ranges of sessions that are over.
func (w *Worker) dropLost() {
	for _, r := range append([]*openRange(nil), w.ranges...) {
		if r.session.State() == lease.Lost {
			w.drop(r, "lease lost")
		}
	}
}

// drop forgets a range that is not held any more. The lock is held.
func (w *Worker) drop(r *openRange, reason string) {
	if r.closed {
		return
	}
	w.p.Scope.Counter("batch_ranges_fenced").Inc(1)
	w.p.Log.Warn("batch range fenced", "job", r.job.ID, "range", r.id, "epoch", r.row.Epoch, "reason", reason,
		"finished", r.finished, "running", r.running)
	w.close(r)
}

// close removes a range. The lock is held.
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

// node returns the state that decides about starts and claims.
func (w *Worker) node() ranges.Node {
	n := ranges.Node{Running: w.running, Buffered: w.buffered, Open: len(w.ranges) + w.claiming, Stopping: w.stopping}
	n.Loading = w.claiming
	for _, r := range w.ranges {
		n.Unstarted += len(r.unstarted)
		if !r.loaded {
			n.Loading++
		}
	}
	return n
}

// write begins the writes that are due.
func (w *Worker) write(now time.Time) {
	node := w.node()
	flush := w.flushTarget(node)
	for _, r := range append([]*openRange(nil), w.ranges...) {
		if r.busy || r.closed {
			continue
		}
		if !r.loaded {
			if w.stopping {
				w.begin(r, ranges.ActRelease)
			}
			continue
		}
		h := r.held()
		h.Stopping, h.Flush = w.stopping, r == flush
		h.MayStart = node.MayStart(w.p.Config) && r.session.State() == lease.Fresh
		if act := ranges.NextWrite(h, now, w.p.Config); act != ranges.ActNone {
			w.begin(r, act)
		}
	}
}

// flushTarget returns the range whose results free the most memory, if memory
// is short and no such write is under way.
func (w *Worker) flushTarget(node ranges.Node) *openRange {
	if !node.MustFlush(w.p.Config) {
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

// start starts items while there is room.
func (w *Worker) start(now time.Time) {
	for w.node().MayStart(w.p.Config) {
		heads, from := w.heads()
		best := ranges.PickStart(heads, now, w.p.Config)
		if best < 0 {
			return
		}
		w.run(from[best], from[best].next())
	}
}

// heads lists the ranges with startable items.
func (w *Worker) heads() (heads []ranges.Head, from []*openRange) {
	running := make(map[core.Org]int)
	for _, r := range w.ranges {
		running[r.job.Org] += r.running
	}
	for _, r := range w.ranges {
		if r.armed == 0 || r.session.State() != lease.Fresh {
			continue
		}
		heads = append(heads, ranges.Head{
			Expected: r.expected[r.unstarted[0]], Since: r.since, Due: r.job.Due,
			TakenOver: r.row.Epoch > 1,
			Running:   running[r.job.Org], Weight: w.p.Weight(r.job.Org),
		})
		from = append(from, r)
	}
	return heads, from
}

// closeIdle ends a session that has held nothing for the lease length, so
// that an idle node renews nothing.
func (w *Worker) closeIdle(now time.Time) {
	if len(w.ranges)+w.claiming+w.running > 0 || w.asking || w.closing || w.p.Keeper.Current() == nil {
		w.idleSince = now
		return
	}
	if w.stopping || now.Sub(w.idleSince) < w.p.Config.LeaseLength {
		return
	}
	w.closing = true
	w.wg.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, w.p.Config.CallTimeout)
		defer cancel()
		// A row that was not deleted lapses.
		_ = w.p.Keeper.Close(ctx)
		w.mu.Lock()
		w.closing = false
		w.mu.Unlock()
		w.signal()
	})
}

// prune forgets cancellations after the time in which a claim of the job can
// still be under way.
func (w *Worker) prune(now time.Time) {
	for id, at := range w.cancelled {
		if now.Sub(at) > 4*w.p.Config.LeaseLength {
			delete(w.cancelled, id)
		}
	}
}
