package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// Head is the longest startable item of an open range.
type Head struct {
	Expected int
	// Since is the time of the claim of the range.
	Since time.Time
	// TakenOver is set if another node held the range before: its items have
	// waited longer than this node's claim says.
	TakenOver bool
	// Due is the due time of the job.
	Due time.Time
	// Running counts the items of the organisation that run at this node, and
	// Weight is its weight in fair sharing.
	Running, Weight int
}

// PickStart returns the index of the range whose head is started next, or -1.
// Ranges that were taken over and those that have been held for half of
// SplitAfter go before all others, the oldest first, so that short items of an old range are not passed over for
// ever by long items of new ranges. Otherwise the earlier due time goes first,
// in steps of DueGrain, then the organisation with the fewest running items for
// its weight, then the longest expected item.
func PickStart(heads []Head, now time.Time, cfg batch.Config) int {
	best, bestAged := -1, false
	for i, h := range heads {
		aged := h.TakenOver || now.Sub(h.Since) >= cfg.SplitAfter/2
		if best >= 0 && !before(h, aged, heads[best], bestAged, cfg.DueGrain) {
			continue
		}
		best, bestAged = i, aged
	}
	return best
}

func before(a Head, aAged bool, b Head, bAged bool, grain time.Duration) bool {
	if aAged != bAged {
		return aAged
	}
	if aAged && !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	if x, y := a.Due.Truncate(grain), b.Due.Truncate(grain); !x.Equal(y) {
		return x.Before(y)
	}
	// Running/Weight is compared crosswise to stay in whole numbers.
	if x, y := a.Running*max(1, b.Weight), b.Running*max(1, a.Weight); x != y {
		return x < y
	}
	return a.Expected > b.Expected
}

// Node is the state of a worker that decides whether it takes more work.
type Node struct {
	Running   int
	Buffered  int64 // bytes of results that wait for a commit
	Unstarted int   // startable items of all open ranges
	Open      int   // open ranges and claims under way
	Loading   int   // ranges whose items are not known yet, claims included
	Stopping  bool
}

// MayStart reports whether another item may be started.
func (n Node) MayStart(cfg batch.Config) bool {
	return !n.Stopping && n.Running < cfg.Window &&
		n.Buffered+int64(n.Running+1)*cfg.ResultReserve <= cfg.ResultMemory
}

// MustFlush reports whether results should be committed to free memory.
func (n Node) MustFlush(cfg batch.Config) bool {
	return n.Buffered > 0 && n.Buffered+int64(n.Running+1)*cfg.ResultReserve > cfg.ResultMemory/2
}

// Want says what a worker may claim.
type Want uint8

const (
	// WantNone means that the worker holds enough work.
	WantNone Want = iota
	// WantOther means that the worker holds enough work of the jobs that it
	// works on, but would take a range of another one, so that a new job does
	// not wait until a large range of an earlier one has been started whole.
	WantOther
	// WantAny means that the worker takes a range of any job.
	WantAny
)

// Want returns what the worker may claim. Ranges are claimed one at a time, the
// next when the items of the last are known: a worker that took several large
// ranges at once would keep them from idle workers, and its loss would leave
// all of them waiting for its lease to lapse.
func (n Node) Want(cfg batch.Config) Want {
	switch {
	case n.Stopping || n.Loading > 0 || n.Open >= cfg.OpenRanges:
		return WantNone
	case n.Unstarted < cfg.Window && n.MayStart(cfg):
		return WantAny
	case n.Open > 0:
		return WantOther
	default:
		return WantNone
	}
}
