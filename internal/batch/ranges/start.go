package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// StartCandidate describes an open range and its longest startable item.
type StartCandidate struct {
	EstimatedTokens int
	// ClaimedAt is the time of the claim of the range.
	ClaimedAt time.Time
	// TakenOver is set if another node held the range before, so that its items
	// have waited since before ClaimedAt.
	TakenOver bool
	// Due is the due time of the job.
	Due time.Time
	// Running is the number of items of the organisation that run on this node,
	// and Weight is the fair-share weight of the organisation.
	Running, Weight int
}

// ChooseStart returns the index of the range whose item is started next, or -1.
// Ranges that were taken over or have been held for half of SplitAfter come first,
// in the order of their claims, so that long items of newer ranges do not starve
// short items of older ones. Among the others, and among claims of the same time,
// the order is by due time rounded down to DueGranularity, then by the running
// items of the organisation relative to its weight, fewest first, and last by
// estimated tokens, longest first.
func ChooseStart(candidates []StartCandidate, now time.Time, cfg batch.Config) int {
	best, bestAged := -1, false
	for i, c := range candidates {
		aged := c.TakenOver || now.Sub(c.ClaimedAt) >= cfg.SplitAfter/2
		if best >= 0 && !startsBefore(c, aged, candidates[best], bestAged, cfg.DueGranularity) {
			continue
		}
		best, bestAged = i, aged
	}
	return best
}

func startsBefore(a StartCandidate, aAged bool, b StartCandidate, bAged bool, granularity time.Duration) bool {
	if aAged != bAged {
		return aAged
	}
	if aAged && !a.ClaimedAt.Equal(b.ClaimedAt) {
		return a.ClaimedAt.Before(b.ClaimedAt)
	}
	if x, y := a.Due.Truncate(granularity), b.Due.Truncate(granularity); !x.Equal(y) {
		return x.Before(y)
	}
	// Compares Running/Weight by cross-multiplication to avoid fractions.
	if x, y := a.Running*max(1, b.Weight), b.Running*max(1, a.Weight); x != y {
		return x < y
	}
	return a.EstimatedTokens > b.EstimatedTokens
}

// WorkerStatus is the state of a worker that determines whether it starts items
// and claims ranges.
type WorkerStatus struct {
	Running       int
	BufferedBytes int64 // bytes of results that are not committed
	Unstarted     int   // startable items of all open ranges
	HeldRanges    int   // open ranges and claims in progress
	LoadingRanges int   // ranges whose items are not read yet, including claims in progress
	Stopping      bool
}

// MayStart reports whether the worker may start another item.
func (s WorkerStatus) MayStart(cfg batch.Config) bool {
	return !s.Stopping && s.Running < cfg.MaxInFlight &&
		s.BufferedBytes+int64(s.Running+1)*cfg.ResultReservePerItem <= cfg.MaxResultMemory
}

// NeedsFlush reports whether the worker should commit results to free memory.
func (s WorkerStatus) NeedsFlush(cfg batch.Config) bool {
	return s.BufferedBytes > 0 && s.BufferedBytes+int64(s.Running+1)*cfg.ResultReservePerItem > cfg.MaxResultMemory/2
}

// ClaimScope says which ranges a worker may claim.
type ClaimScope uint8

const (
	// ClaimNone means that the worker claims no range.
	ClaimNone ClaimScope = iota
	// ClaimOtherJobs means that the worker has enough items of its current jobs but
	// claims a range of another job. A new job therefore does not wait until all
	// items of a large range of an earlier job have been started.
	ClaimOtherJobs
	// ClaimAnyJob means that the worker may claim a range of any job.
	ClaimAnyJob
)

// ClaimScope returns which ranges the worker may claim. It claims one range at a
// time, and the next only when the items of the previous one have been read. A
// worker that claimed several large ranges at once would keep them from idle
// workers, and if it failed, all of them would wait for its lease to expire.
func (s WorkerStatus) ClaimScope(cfg batch.Config) ClaimScope {
	switch {
	case s.Stopping || s.LoadingRanges > 0 || s.HeldRanges >= cfg.MaxOpenRanges:
		return ClaimNone
	case s.Unstarted < cfg.MaxInFlight && s.MayStart(cfg):
		return ClaimAnyJob
	case s.HeldRanges > 0:
		return ClaimOtherJobs
	default:
		return ClaimNone
	}
}
