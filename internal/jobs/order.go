package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialPerToken is the time of a token at an engine until items have told:
	// 3.9 ms a step, more beside others.
	initialPerToken = 4500 * time.Microsecond
	// perTokenWeight is the weight of one item in the running mean.
	perTokenWeight = 0.1
)

// pace is a running mean of the time that a token of an item takes.
type pace struct{ perToken time.Duration }

func newPace() *pace { return &pace{perToken: initialPerToken} }

// learn takes the run time of an item that is complete.
func (p *pace) learn(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	sample := float64(took) / float64(tokens)
	p.perToken = time.Duration((1-perTokenWeight)*float64(p.perToken) + perTokenWeight*sample)
}

// remaining estimates the run time that an item still needs.
func (p *pace) remaining(w *work) time.Duration {
	return max(0, time.Duration(w.item.Tokens)*p.perToken-w.ran)
}

// inTime reports whether an item can still be done when it is due, if it begins
// at the given moment of the store's clock.
func (p *pace) inTime(w *work, clock time.Duration) bool {
	return clock+p.remaining(w) <= w.job.entry.Due
}

// sortWork orders items for placement: those that can still be done in time, the
// earliest due first, then the late ones. While there is more work than room,
// an item that is late anyway must not make another one late.
func sortWork(all []*work, p *pace, clock time.Duration) {
	late := func(w *work) int {
		if p.inTime(w, clock) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b *work) int {
		return cmp.Or(
			cmp.Compare(late(a), late(b)),
			cmp.Compare(a.job.entry.Due, b.job.entry.Due),
			cmp.Compare(a.job.entry.ID, b.job.entry.ID),
		)
	})
}
