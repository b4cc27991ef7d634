package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// reviewPause is the time between reviews of the jobs' owners.
	reviewPause = 500 * time.Millisecond
	// ownGrace is the time between a row's arrival and the execution of its job
	// that is normal: the answer to the write is read after the feed brought it.
	ownGrace = time.Second
)

// takeover claims the open jobs whose owners are gone.
type takeover struct {
	runner   *Runner
	mu       sync.Mutex
	claiming map[string]bool
}

// review claims the jobs that fall to this node by the given view. Each job
// falls to one of the live nodes by rendezvous hashing; nodes whose views
// differ may both try, and one write wins.
func (t *takeover) review(ctx context.Context, view *nodes.View) {
	r := t.runner
	orphans := r.book.All(func(e *Entry) bool {
		if e.State != StateOpen || !t.mine(e.ID, view) {
			return false
		}
		_, alive := view.Alive[e.Owner]
		return !alive && e.Seen.Before(view.At)
	})
	for i := range orphans {
		if t.begin(orphans[i].ID) {
			go t.claim(ctx, orphans[i])
		}
	}
	t.reviewOwn(ctx, time.Now())
}

// reviewOwn executes jobs that are this node's by their rows though it does not
// execute them: a write that names it as the owner may take effect seconds
// after its answer was lost.
func (t *takeover) reviewOwn(ctx context.Context, now time.Time) {
	r := t.runner
	lost := r.book.All(func(e *Entry) bool {
		return e.State == StateOpen && e.Owner == r.owner && now.Sub(e.Seen) > ownGrace && !r.executes(e.ID)
	})
	for i := range lost {
		if t.begin(lost[i].ID) {
			go func() {
				defer t.end(lost[i].ID)
				t.resume(ctx, lost[i], r.owner)
			}()
		}
	}
}

func (t *takeover) begin(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claiming[job] {
		return false
	}
	t.claiming[job] = true
	return true
}

func (t *takeover) end(job string) {
	t.mu.Lock()
	delete(t.claiming, job)
	t.mu.Unlock()
}

// mine reports whether a job falls to this node.
func (t *takeover) mine(job string, view *nodes.View) bool {
	var best string
	var bestScore uint64
	for owner := range view.Alive {
		if score := xxhash.Sum64String(job + "|" + owner); best == "" || score > bestScore {
			best, bestScore = owner, score
		}
	}
	return best == t.runner.owner
}

// claim makes this node the owner of a job. The claim changes the job's row, so
// that no commit of the former owner succeeds any more; only then are the
// results read.
func (t *takeover) claim(ctx context.Context, entry Entry) {
	defer t.end(entry.ID)
	r := t.runner
	former := entry.Owner
	record := entry.Record
	record.Owner = r.owner
	version, err := r.store.put(ctx, &record, entry.Version)
	if err != nil {
		r.log.Info("job not claimed", "job", entry.ID, "owner", former, "error", err)
		if errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrUnknown) {
			t.relearn(ctx, entry.ID)
		}
		return
	}
	r.book.Learn(&record, version)
	t.resume(ctx, Entry{Record: record, Version: version}, former)
}

// relearn reads a row that is not as it was known.
func (t *takeover) relearn(ctx context.Context, job string) {
	entry, err := t.runner.store.job(ctx, job)
	if err != nil {
		t.runner.log.Info("job row not read", "job", job, "error", err)
		return
	}
	t.runner.book.Learn(&entry.Record, entry.Version)
	if entry.State == StateOpen && entry.Owner == t.runner.owner {
		t.resume(ctx, entry, "")
	}
}

// resume reads the items and results of a claimed job and executes the rest.
func (t *takeover) resume(ctx context.Context, entry Entry, former string) {
	r := t.runner
	for {
		items, err := r.store.items(ctx, entry.Object)
		var results []Result
		if err == nil {
			results, _, err = r.store.results(ctx, entry.ID, 0)
		}
		if err == nil {
			r.log.Info("job claimed", "job", entry.ID, "former_owner", former, "committed", len(results), "total", entry.Total, "version", entry.Version)
			r.Own(entry, items, results)
			return
		}
		r.log.Info("claimed job not read yet", "job", entry.ID, "error", err)
		if !pause(ctx, 2*retryPause) {
			return
		}
	}
}
