package worker

import (
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/batch/records"
)

// openRange is a range that the node holds. Worker.mu guards it.
type openRange struct {
	job        records.Job
	jobVersion uint64
	id         string
	row        records.Range
	version    uint64
	session    *lease.Session
	ctx        context.Context // for writes; ends with the session
	itemCtx    context.Context // for executions of items
	cancel     context.CancelFunc

	loaded         bool
	closed         bool
	writing        bool // a write of the range row is in progress
	splitRequested bool
	// stopSplitDone is set once unstarted items were split off because of a stop.
	stopSplitDone bool
	// unreadable is set when the input object is missing or damaged.
	unreadable bool

	items           []batch.Item // by position in the input part
	estimatedTokens []int
	progress        []ranges.Progress
	resultLines     [][]byte // encoded results that are not committed
	failed          []bool
	unstarted       []int // most estimated tokens first; only the first startable items may be started
	startable       int
	delayed         int
	running         int
	finished        int
	buffered        int64

	segmentCount   int // number of the last segment object of this holder
	partialCommits int
	started        int
	claimedAt      time.Time // time of the claim
	lastActivity   time.Time // time of the last commit or start of an item
}

// setItems sets the items of the input part. Items with a recorded intent but no
// result may have run on an earlier holder; their outcome is recorded as unknown.
func (r *openRange) setItems(items []batch.Item) {
	n := len(items)
	r.items = items
	r.estimatedTokens = make([]int, n)
	r.progress = make([]ranges.Progress, n)
	r.resultLines = make([][]byte, n)
	r.failed = make([]bool, n)
	for i := range items {
		if !r.row.Contains(i) || r.row.Done.Has(i) {
			r.items[i].Body = nil
			continue
		}
		if r.row.Sent.Has(i) {
			r.recordResult(i, batch.Outcome{Kind: batch.Unknown, Message: "the node that ran it was lost"})
			continue
		}
		r.estimatedTokens[i] = ranges.EstimateTokens(items[i].Body)
		r.unstarted = append(r.unstarted, i)
	}
	slices.SortStableFunc(r.unstarted, func(a, b int) int { return r.estimatedTokens[b] - r.estimatedTokens[a] })
	if !r.job.NonIdempotent {
		r.startable = len(r.unstarted)
	}
	r.loaded = true
}

// takeNext removes and returns the next item to start.
func (r *openRange) takeNext() int {
	i := r.unstarted[0]
	r.unstarted = r.unstarted[1:]
	r.startable--
	return i
}

// requeue makes an item startable again, ahead of all others.
func (r *openRange) requeue(i int) {
	r.unstarted = append([]int{i}, r.unstarted...)
	r.startable++
}

// rangeStatus returns the state of the range from which ranges.NextWrite decides.
// The fields that depend on the whole worker are left unset.
func (r *openRange) rangeStatus() ranges.RangeStatus {
	return ranges.RangeStatus{
		Unstarted: len(r.unstarted), Startable: r.startable, Delayed: r.delayed, Running: r.running, Finished: r.finished,
		PartialCommits: r.partialCommits, Started: r.started, ClaimedAt: r.claimedAt, LastActivity: r.lastActivity, SplitRequested: r.splitRequested, StopSplitDone: r.stopSplitDone,
	}
}
