package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// Action is the next write of a range row.
type Action uint8

const (
	// ActNone writes nothing.
	ActNone Action = iota
	// ActFinish commits all results that wait and completes the range.
	ActFinish
	// ActPartial commits the results that wait.
	ActPartial
	// ActIntent records that the next non-idempotent items may be sent.
	ActIntent
	// ActSplit moves the unstarted items into a range of their own.
	ActSplit
	// ActRelease commits the results that wait and gives the range up.
	ActRelease
)

// String returns the lower-case name of the action.
func (a Action) String() string {
	return [...]string{"none", "finish", "partial", "intent", "split", "release"}[min(a, ActRelease)]
}

// Held is the state of a range in its holder.
type Held struct {
	// Unstarted, Delayed (waiting for a repeat), Running and Finished (result
	// not committed) count the items of the range without a committed result.
	Unstarted, Delayed, Running, Finished int
	// Armed counts the unstarted items that may be started: all of them, or
	// those with a recorded intent if the job is non-idempotent.
	Armed int
	// Partials counts the partial commits of this holder.
	Partials int
	// Started counts the items that this holder has started.
	Started int
	// Since is the time of the claim; Quiet is the time of the last commit or
	// the last start of an item, whichever is later.
	Since, Quiet time.Time
	// Behind is set when another node has room for the unstarted items.
	Behind bool
	// Stopping is set when the holder gives its ranges up.
	Stopping bool
	// StopSplit is set when unstarted items were released because of the stop.
	StopSplit bool
	// Flush is set when results must be committed to free memory.
	Flush bool
	// MayStart is set when the holder has room to start items.
	MayStart bool
}

// NextWrite decides the next write of a range.
func NextWrite(h Held, now time.Time, cfg batch.Config) Action {
	active := h.Running + h.Delayed
	switch {
	case h.Unstarted+active == 0:
		return ActFinish
	case h.Stopping && h.Running == 0:
		return ActRelease
	case h.Stopping && h.Unstarted > 0 && !h.StopSplit:
		// Once: interrupted items come back one by one, and a range for each
		// would cost as many writes and claims. They go with the release.
		return ActSplit
	case h.Flush && h.Finished > 0:
		return ActPartial
	case h.Stopping:
		return ActNone
	case h.Behind && h.fallsBehind(now, cfg):
		if active+h.Finished == 0 {
			return ActRelease
		}
		return ActSplit
	case h.MayStart && h.Unstarted > 0 && h.Armed == 0:
		return ActIntent
	case h.Unstarted == 0 && h.Finished > 0 && now.Sub(h.Quiet) >= PartialAfter(h.Partials, cfg):
		return ActPartial
	default:
		return ActNone
	}
}

// fallsBehind reports whether a range has been held for long and its
// unstarted items will wait for long at the pace so far. A few items that
// start soon anyway are not worth the writes of another range.
func (h *Held) fallsBehind(now time.Time, cfg batch.Config) bool {
	held := now.Sub(h.Since)
	if h.Unstarted == 0 || held < cfg.SplitAfter {
		return false
	}
	wait := float64(held) * float64(h.Unstarted) / float64(max(1, h.Started))
	return wait >= float64(cfg.SplitAfter)/2
}

// PartialAfter returns how long results wait for the last items of a range. It
// doubles with each partial commit, so that a range with many items that end
// one by one needs few writes.
func PartialAfter(partials int, cfg batch.Config) time.Duration {
	return cfg.PartialAfter << min(partials, 6)
}
