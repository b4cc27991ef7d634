package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// scan reads the open jobs of the own shards, their ranges where needed, and
// then the leases, in this order: a lease that is absent after its range was
// read has ended.
func (c *Coordinator) scan(ctx context.Context) {
	began := time.Now()
	err := c.scanShards(ctx)
	claimed := c.claimed()
	sweep := c.mine(sweepShard)
	// Leases are watched also without a claimed range: a coordinator that takes
	// a shard over from a lost node then knows since when the node's lease is
	// unchanged, and need not wait for its whole length from there on.
	if err == nil && c.coordinates() {
		err = c.scanLeases(ctx, claimed)
	}
	if err == nil && sweep {
		c.sweepLeases(ctx, time.Now())
	}
	c.mu.Lock()
	c.scanned = began
	if err != nil {
		c.scanErrs++
	}
	c.mu.Unlock()
	if err != nil {
		c.p.Scope.Counter("batch_scan_errors").Inc(1)
	}
	c.endJobs()
	c.announce()
}

// coordinates reports whether this node coordinates any shard.
func (c *Coordinator) coordinates() bool {
	for shard := range c.p.Config.Shards {
		if c.mine(shard) {
			return true
		}
	}
	return false
}

func (c *Coordinator) scanShards(ctx context.Context) error {
	for shard := range c.p.Config.Shards {
		if !c.mine(shard) {
			c.forget(shard, nil)
			continue
		}
		if err := c.scanShard(ctx, shard); err != nil {
			return err
		}
	}
	return nil
}

// scanShard reads the index rows of a shard and the jobs that changed.
func (c *Coordinator) scanShard(ctx context.Context, shard int) error {
	open := make(map[core.JobID]uint64)
	err := c.p.Store.Each(ctx, records.OpenPrefix(shard), "", func(row infra.Row) error {
		open[records.OpenJob(row.Key)] = row.Version
		return nil
	})
	if err != nil {
		return err
	}
	c.forget(shard, open)
	for id, version := range open {
		if err := c.readJob(ctx, id, shard, version); err != nil {
			return err
		}
	}
	return nil
}

// forget drops the jobs of a shard that are not open any more.
func (c *Coordinator) forget(shard int, open map[core.JobID]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if _, ok := open[id]; j.shard == shard && !ok {
			delete(c.jobs, id)
		}
	}
}

// readJob reads the row of a job whose index row is new or changed, and its
// ranges if they may have changed without a report.
func (c *Coordinator) readJob(ctx context.Context, id core.JobID, shard int, openVersion uint64) error {
	c.mu.Lock()
	j, ok := c.jobs[id]
	if !ok {
		j = newJobInfo(id, shard)
	}
	known := ok && j.openVersion == openVersion
	fresh := known && !j.stale && time.Since(j.readAt) < c.p.Config.RereadEvery
	after := ""
	if j.firstOpen > 0 {
		after = records.RangeKey(id, j.ids[j.firstOpen-1])
	}
	c.mu.Unlock()
	if !known {
		if err := c.readJobRow(ctx, j, openVersion); err != nil {
			return err
		}
	}
	if fresh {
		return nil
	}
	return c.readRanges(ctx, j, after)
}

func (c *Coordinator) readJobRow(ctx context.Context, j *jobInfo, openVersion uint64) error {
	row, err := c.p.Store.Table.Get(ctx, records.JobKey(j.id))
	if errors.Is(err, infra.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	job, err := records.Decode[records.Job](row.Value)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.openVersion, j.version, j.raw, j.row = openVersion, row.Version, row.Value, job
	j.stale = true
	for n := range job.Ranges {
		j.get(records.RangeID(n))
	}
	c.jobs[j.id] = j
	return nil
}

func (c *Coordinator) readRanges(ctx context.Context, j *jobInfo, after string) error {
	began := time.Now()
	prefix := records.RangePrefix(j.id)
	c.mu.Lock()
	j.stale = false
	version := j.version
	c.mu.Unlock()
	err := c.p.Store.Each(ctx, prefix, after, func(row infra.Row) error {
		r, err := records.Decode[records.Range](row.Value)
		if err != nil {
			return err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		j.update(row.Key[len(prefix):], row.Version, row.Value, r, began)
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	j.stale = j.stale || err != nil
	if err == nil {
		j.readAt, j.readFor = began, version
	}
	return err
}

// sighted is a claimed range as known before the leases are read.
type sighted struct {
	job     core.JobID
	id      string
	version uint64
	session string
}

// claimed lists the claimed ranges of all jobs.
func (c *Coordinator) claimed() []sighted {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []sighted
	for _, j := range c.jobs {
		for _, id := range j.ids[j.firstOpen:] {
			if r := j.ranges[id]; r.row.State == records.RangeClaimed {
				out = append(out, sighted{job: j.id, id: id, version: r.version, session: r.row.Session})
			}
		}
	}
	return out
}

// scanLeases reads all leases and judges the holders of the claimed ranges.
func (c *Coordinator) scanLeases(ctx context.Context, claimed []sighted) error {
	var rows []lease.Seen
	err := c.p.Store.Each(ctx, records.LeasePrefix, "", func(row infra.Row) error {
		rows = append(rows, lease.Seen{Session: row.Key[len(records.LeasePrefix):], Version: row.Version})
		return nil
	})
	if err != nil {
		return err
	}
	now := time.Now()
	c.observer.Scan(rows, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range claimed {
		j := c.jobs[s.job]
		if j == nil {
			continue
		}
		if r := j.ranges[s.id]; r != nil && r.version == s.version {
			r.holder = c.observer.Judge(s.session, now)
		}
	}
	return nil
}

// sweepShard is the shard whose coordinator deletes abandoned leases.
const sweepShard = 0

// sweepLeases deletes the rows of sessions that ended without ranges, which
// no take-over deletes.
func (c *Coordinator) sweepLeases(ctx context.Context, now time.Time) {
	for _, s := range c.observer.Abandoned(now) {
		c.lapse(ctx, holder{session: s.Session, leaseVersion: s.Version})
	}
}

// announce tells the live nodes that asking is worthwhile while there are
// ranges to hand out or to divide.
func (c *Coordinator) announce() {
	if !c.hasWork(time.Now()) {
		return
	}
	view := c.p.Members()
	for _, m := range view.Members() {
		if view.Live(m.ID) {
			// A lost notice is made up for by the next scan.
			_ = c.p.Messenger.Send(m.ID, KindWork, Work{})
		}
	}
}

func (c *Coordinator) hasWork(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.row.State != records.JobInProgress {
			continue
		}
		if free, _ := j.counts(now); free > 0 || j.oldest(now, c.p.Config.SplitAfter) != "" {
			return true
		}
	}
	return false
}
