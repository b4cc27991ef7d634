package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
)

// WriteAction is a write of a range row.
type WriteAction uint8

const (
	// ActNone writes nothing.
	ActNone WriteAction = iota
	// ActFinish commits the finished results and marks the range as done.
	ActFinish
	// ActPartial commits the finished results.
	ActPartial
	// ActIntent records that the next non-idempotent items may have been sent. It
	// is written before they are started.
	ActIntent
	// ActSplit moves the unstarted items into a new range.
	ActSplit
	// ActRelease commits the finished results and releases the range.
	ActRelease
)

// String returns the lower-case name of the action.
func (a WriteAction) String() string {
	return [...]string{"none", "finish", "partial", "intent", "split", "release"}[min(a, ActRelease)]
}

// RangeStatus is the state of an open range in the worker that holds it.
type RangeStatus struct {
	// Unstarted, Delayed (waiting for a retry), Running and Finished (result not
	// committed) count the items of the range that have no committed result.
	Unstarted, Delayed, Running, Finished int
	// Startable counts the unstarted items that may be started: all of them, or, if
	// the job is non-idempotent, those with a recorded intent.
	Startable int
	// PartialCommits counts the partial commits of this holder.
	PartialCommits int
	// Started counts the items that this holder has started.
	Started int
	// ClaimedAt is the time of the claim. LastActivity is the time of the last
	// commit or the last start of an item, whichever is later.
	ClaimedAt, LastActivity time.Time
	// SplitRequested is set if the coordinator has asked for the unstarted items,
	// for which another node has free capacity.
	SplitRequested bool
	// Stopping is set if the holder is stopping and releases its ranges.
	Stopping bool
	// StopSplitDone is set once unstarted items were split off because of the stop.
	StopSplitDone bool
	// Flush is set if the finished results should be committed to free memory.
	Flush bool
	// MayStart is set if the holder may start items.
	MayStart bool
}

// NextWrite returns the write of a range row that is due, or ActNone.
func NextWrite(s RangeStatus, now time.Time, cfg batch.Config) WriteAction {
	active := s.Running + s.Delayed
	switch {
	case s.Unstarted+active == 0:
		return ActFinish
	case s.Stopping && s.Running == 0:
		return ActRelease
	case s.Stopping && s.Unstarted > 0 && !s.StopSplitDone:
		// Split only once. Interrupted items become unstarted one by one, and a new
		// range for each would cost a write and a claim each. They stay in the range
		// until it is released.
		return ActSplit
	case s.Flush && s.Finished > 0:
		return ActPartial
	case s.Stopping:
		return ActNone
	case s.SplitRequested && s.worthSplitting(now, cfg):
		if active+s.Finished == 0 {
			return ActRelease
		}
		return ActSplit
	case s.MayStart && s.Unstarted > 0 && s.Startable == 0:
		return ActIntent
	case s.Unstarted == 0 && s.Finished > 0 && now.Sub(s.LastActivity) >= PartialCommitAfter(s.PartialCommits, cfg):
		return ActPartial
	default:
		return ActNone
	}
}

// worthSplitting reports whether a range has been held for SplitAfter and its
// unstarted items would wait for at least half of SplitAfter at the rate so far.
// A few items that start soon do not justify the writes of another range.
func (s *RangeStatus) worthSplitting(now time.Time, cfg batch.Config) bool {
	held := now.Sub(s.ClaimedAt)
	if s.Unstarted == 0 || held < cfg.SplitAfter {
		return false
	}
	wait := float64(held) * float64(s.Unstarted) / float64(max(1, s.Started))
	return wait >= float64(cfg.SplitAfter)/2
}

// PartialCommitAfter returns how long finished results wait for the remaining items
// of a range. The time doubles with each partial commit, up to 64 times the initial
// value, so that a range whose items end one by one needs few writes.
func PartialCommitAfter(commits int, cfg batch.Config) time.Duration {
	return cfg.PartialCommitAfter << min(commits, 6)
}
