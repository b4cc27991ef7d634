package jobs

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialTokenTime is the assumed time per token before any item has
	// completed. Items usually end before their maximum number of tokens. An
	// estimate that is too low only delays the finding that an item is late.
	initialTokenTime = 2500 * time.Microsecond
	// minSampleWeight is the weight of one item in the moving average once ten
	// items have completed. Until then all have the same weight.
	minSampleWeight = 0.1
)

// meanTokenTime is a moving average of the run time per token.
type meanTokenTime struct {
	perToken time.Duration
	samples  int
}

func newMeanTokenTime() *meanTokenTime { return &meanTokenTime{perToken: initialTokenTime} }

// addSample adds the run time of a completed item.
func (m *meanTokenTime) addSample(took time.Duration, tokens int64) {
	if tokens <= 0 {
		return
	}
	m.samples++
	weight := max(minSampleWeight, 1/float64(m.samples))
	sample := float64(took) / float64(tokens)
	m.perToken = time.Duration((1-weight)*float64(m.perToken) + weight*sample)
}

// remaining estimates the remaining run time of an item.
func (m *meanTokenTime) remaining(task *itemTask) time.Duration {
	return max(0, time.Duration(task.item.Tokens)*m.perToken-task.totalRunTime())
}

// canMeetDue reports whether an item is expected to complete by its due time if
// it starts at the given time of the store's clock.
func (m *meanTokenTime) canMeetDue(task *itemTask, clock time.Duration) bool {
	return clock+m.remaining(task) <= task.job.entry.Due
}

// sortForPlacement sorts items for placement: first those that can still
// complete by their due time, the earliest due first, then the late ones. Under
// overload, an item that is late anyway must not make another item late.
func sortForPlacement(all []*itemTask, m *meanTokenTime, clock time.Duration) {
	late := func(task *itemTask) int {
		if m.canMeetDue(task, clock) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b *itemTask) int {
		return cmp.Or(
			cmp.Compare(late(a), late(b)),
			cmp.Compare(a.job.entry.Due, b.job.entry.Due),
			cmp.Compare(a.job.entry.ID, b.job.entry.ID),
		)
	})
}
