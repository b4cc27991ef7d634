package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// claimInterval is the time between checks for orphaned jobs, whose owners are
	// no longer alive.
	claimInterval = 500 * time.Millisecond
	// localStartGrace is how long a row that names this node as the owner may be
	// cached before the job must be executing. A short delay is normal: the change
	// feed may deliver the row before the answer to the write arrives.
	localStartGrace = time.Second
)

// orphanClaimer claims the open jobs whose owners are no longer alive. The set
// claiming holds the jobs that are being claimed or resumed.
type orphanClaimer struct {
	runner   *Runner
	mu       sync.Mutex
	claiming map[string]bool
}

// claimOrphans claims the orphaned jobs that are assigned to this node in the
// given view. Rendezvous hashing assigns each job to one live node. Nodes with
// different views may both try to claim a job; only one of the writes succeeds.
func (c *orphanClaimer) claimOrphans(ctx context.Context, view *nodes.View) {
	r := c.runner
	if r.refusesJobs() {
		return
	}
	orphans := r.cache.Select(func(e *Entry) bool {
		if e.State != StateOpen || !c.assignedHere(e.ID, view) {
			return false
		}
		_, alive := view.Alive[e.Owner]
		return !alive && e.Seen.Before(view.At)
	})
	for i := range orphans {
		if c.beginClaim(orphans[i].ID) {
			go c.claim(ctx, orphans[i])
		}
	}
	c.resumeUnstarted(ctx, time.Now())
}

// resumeUnstarted starts jobs whose rows name this node as the owner but which it
// does not execute. This happens when a write that makes this node the owner
// takes effect seconds after its answer was lost.
func (c *orphanClaimer) resumeUnstarted(ctx context.Context, now time.Time) {
	r := c.runner
	unstarted := r.cache.Select(func(e *Entry) bool {
		return e.State == StateOpen && e.Owner == r.owner && now.Sub(e.Seen) > localStartGrace
	})
	for i := range unstarted {
		if !r.hasJob(unstarted[i].ID) && c.beginClaim(unstarted[i].ID) {
			go func() {
				defer contain.Recover(r.log, "resumption of job", unstarted[i].ID)
				defer c.endClaim(unstarted[i].ID)
				c.resumeJob(ctx, unstarted[i], r.owner)
			}()
		}
	}
}

// beginClaim marks a job as being claimed. It returns false if it is already
// marked.
func (c *orphanClaimer) beginClaim(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claiming[job] {
		return false
	}
	c.claiming[job] = true
	return true
}

func (c *orphanClaimer) endClaim(job string) {
	c.mu.Lock()
	delete(c.claiming, job)
	c.mu.Unlock()
}

// assignedHere reports whether rendezvous hashing assigns a job to this node. Nodes that
// are stopping claim none.
func (c *orphanClaimer) assignedHere(job string, view *nodes.View) bool {
	var best string
	var bestScore uint64
	for owner, record := range view.Alive {
		if record.Stopping {
			continue
		}
		if score := claimScore(job, owner); best == "" || score > bestScore {
			best, bestScore = owner, score
		}
	}
	return best == c.runner.owner
}

// claim makes this node the owner of a job. The write changes the version of the
// job row, which fences commits of the former owner. The results are read
// only after that.
func (c *orphanClaimer) claim(ctx context.Context, entry Entry) {
	r := c.runner
	defer contain.Recover(r.log, "claim of job", entry.ID)
	defer c.endClaim(entry.ID)
	former := entry.Owner
	record := entry.Record
	record.Owner = r.owner
	version, err := r.store.put(ctx, &record, entry.Version)
	if err != nil {
		r.log.Info("job not claimed", "job", entry.ID, "owner", former, "error", err)
		if errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrOutcomeUnknown) {
			c.refreshRow(ctx, entry.ID)
		}
		return
	}
	r.cache.Update(&record, version)
	c.resumeJob(ctx, Entry{Record: record, Version: version}, former)
}

// refreshRow reads the row of a job whose cached row is outdated, and resumes the
// job if this node is its owner.
func (c *orphanClaimer) refreshRow(ctx context.Context, job string) {
	entry, err := c.runner.store.job(ctx, job)
	if err != nil {
		c.runner.log.Info("job row could not be read", "job", job, "error", err)
		return
	}
	c.runner.cache.Update(&entry.Record, entry.Version)
	if entry.State == StateOpen && entry.Owner == c.runner.owner {
		c.resumeJob(ctx, entry, "")
	}
}

// resumeJob reads the items and results of a claimed job and starts executing the
// remaining items. Failed reads are retried until ctx ends.
func (c *orphanClaimer) resumeJob(ctx context.Context, entry Entry, former string) {
	r := c.runner
	for {
		items, err := r.store.itemsOf(ctx, &entry.Record)
		var results []Result
		if err == nil {
			results, _, err = r.store.results(ctx, entry.ID, 0)
		}
		if err == nil {
			r.log.Info("job claimed", "job", entry.ID, "former_owner", former, "committed", len(results), "total", entry.Total, "version", entry.Version)
			r.StartJob(entry, items, results)
			return
		}
		r.log.Info("claimed job could not be read; retrying", "job", entry.ID, "error", err)
		if !sleep(ctx, 2*retryDelay) {
			return
		}
	}
}
