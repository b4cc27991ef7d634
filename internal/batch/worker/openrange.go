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

// openRange is a range that the node holds. The worker's lock guards it.
type openRange struct {
	job        records.Job
	jobVersion uint64
	id         string
	row        records.Range
	version    uint64
	session    *lease.Session
	ctx        context.Context // of the writes; ends with the session
	itemCtx    context.Context // of the items
	cancel     context.CancelFunc

	loaded bool
	closed bool
	busy   bool // a write is under way
	behind bool
	// stopSplit is set once unstarted items were released because of a stop.
	stopSplit bool
	// unreadable is set when the input object is missing or damaged.
	unreadable bool

	items     []batch.Item // by position in the part
	expected  []int
	progress  []ranges.Progress
	lines     [][]byte // results that are not committed
	failed    []bool
	unstarted []int // longest expected first; the first armed may be started
	armed     int
	delayed   int
	running   int
	finished  int
	buffered  int64

	segments int // segment objects named so far
	partials int
	started  int
	since    time.Time // of the claim
	quiet    time.Time // of the last commit or start of an item
}

// load takes over the items of the part. Items with an intent but no result
// may have run at an earlier holder; they get their result at once.
func (r *openRange) load(items []batch.Item) {
	n := len(items)
	r.items = items
	r.expected = make([]int, n)
	r.progress = make([]ranges.Progress, n)
	r.lines = make([][]byte, n)
	r.failed = make([]bool, n)
	for i := range items {
		if !r.row.Holds(i) || r.row.Done.Has(i) {
			r.items[i].Body = nil
			continue
		}
		if r.row.Sent.Has(i) {
			r.record(i, batch.Outcome{Kind: batch.Unknown, Message: "the node that ran it was lost"})
			continue
		}
		r.expected[i] = ranges.Expected(items[i].Body)
		r.unstarted = append(r.unstarted, i)
	}
	slices.SortStableFunc(r.unstarted, func(a, b int) int { return r.expected[b] - r.expected[a] })
	if !r.job.NonIdempotent {
		r.armed = len(r.unstarted)
	}
	r.loaded = true
}

// next takes the next item to start.
func (r *openRange) next() int {
	i := r.unstarted[0]
	r.unstarted = r.unstarted[1:]
	r.armed--
	return i
}

// giveBack makes an item startable again, before all others.
func (r *openRange) giveBack(i int) {
	r.unstarted = append([]int{i}, r.unstarted...)
	r.armed++
}

// held returns the state that decides about writes.
func (r *openRange) held() ranges.Held {
	return ranges.Held{
		Unstarted: len(r.unstarted), Armed: r.armed, Delayed: r.delayed, Running: r.running, Finished: r.finished,
		Partials: r.partials, Started: r.started, Since: r.since, Quiet: r.quiet, Behind: r.behind, StopSplit: r.stopSplit,
	}
}
