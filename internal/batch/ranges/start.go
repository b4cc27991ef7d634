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
}

// PickStart returns the index of the range whose head is started next, or -1.
// The longest expected item goes first. Ranges that have been held for half
// of SplitAfter go before all others, the oldest first, so that short items
// of an old range are not passed over for ever by long items of new ranges.
func PickStart(heads []Head, now time.Time, cfg batch.Config) int {
	best, bestAged := -1, false
	for i, h := range heads {
		aged := now.Sub(h.Since) >= cfg.SplitAfter/2
		if best >= 0 && !before(h, aged, heads[best], bestAged) {
			continue
		}
		best, bestAged = i, aged
	}
	return best
}

func before(a Head, aAged bool, b Head, bAged bool) bool {
	switch {
	case aAged != bAged:
		return aAged
	case aAged && !a.Since.Equal(b.Since):
		return a.Since.Before(b.Since)
	default:
		return a.Expected > b.Expected
	}
}

// Node is the state of a worker that decides whether it takes more work.
type Node struct {
	Running   int
	Buffered  int64 // bytes of results that wait for a commit
	Unstarted int   // startable items of all open ranges
	Open      int   // open ranges and claims under way
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

// Room returns the number of ranges that the worker may claim.
func (n Node) Room(cfg batch.Config) int {
	if n.Stopping || n.Unstarted >= cfg.Window || !n.MayStart(cfg) {
		return 0
	}
	return max(0, cfg.OpenRanges-n.Open)
}
