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

// scan reads the open jobs of this node's shards, their ranges where needed, and
// then the leases. With this order, a lease that is absent after its range was read
// has ended.
func (c *Coordinator) scan(ctx context.Context) {
	began := time.Now()
	err := c.scanShards(ctx)
	claimedRanges := c.claimedRanges()
	sweep := c.ownsShard(leaseSweepShard)
	// Leases are scanned even if no range is claimed. A coordinator that takes over
	// a shard of a lost node then already knows how long that node's lease has been
	// unchanged and does not wait for a full lease duration from that point.
	if err == nil && c.ownsAnyShard() {
		err = c.scanLeases(ctx, claimedRanges)
	}
	if err == nil && sweep {
		c.sweepLeases(ctx, time.Now())
	}
	c.mu.Lock()
	c.lastScan = began
	if err != nil {
		c.scanErrs++
	}
	c.mu.Unlock()
	if err != nil {
		c.p.Scope.Counter("batch_scan_errors").Inc(1)
	}
	c.endJobs()
	c.announceWork()
}

// ownsAnyShard reports whether this node coordinates at least one shard.
func (c *Coordinator) ownsAnyShard() bool {
	for shard := range c.p.Config.Shards {
		if c.ownsShard(shard) {
			return true
		}
	}
	return false
}

func (c *Coordinator) scanShards(ctx context.Context) error {
	for shard := range c.p.Config.Shards {
		if !c.ownsShard(shard) {
			c.dropClosedJobs(shard, nil)
			continue
		}
		if err := c.scanShard(ctx, shard); err != nil {
			return err
		}
	}
	return nil
}

// scanShard reads the index rows of a shard, and the job and range rows that may
// have changed.
func (c *Coordinator) scanShard(ctx context.Context, shard int) error {
	open := make(map[core.JobID]uint64)
	err := c.p.Store.ForEach(ctx, records.OpenKeyPrefix(shard), "", func(row infra.Row) error {
		open[records.OpenJobID(row.Key)] = row.Version
		return nil
	})
	if err != nil {
		return err
	}
	c.dropClosedJobs(shard, open)
	for id, version := range open {
		if err := c.readJob(ctx, id, shard, version); err != nil {
			return err
		}
	}
	return nil
}

// dropClosedJobs removes the jobs of a shard that are not in open.
func (c *Coordinator) dropClosedJobs(shard int, open map[core.JobID]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if _, ok := open[id]; j.shard == shard && !ok {
			delete(c.jobs, id)
		}
	}
}

// readJob reads the row of a job if its index row is new or changed, and its range
// rows if they may have changed without a report.
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
		after = records.RangeKey(id, j.rangeIDs[j.firstOpen-1])
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
		j.getOrAdd(records.RangeID(n))
	}
	c.jobs[j.id] = j
	return nil
}

func (c *Coordinator) readRanges(ctx context.Context, j *jobInfo, after string) error {
	began := time.Now()
	prefix := records.RangeKeyPrefix(j.id)
	c.mu.Lock()
	j.stale = false
	version := j.version
	c.mu.Unlock()
	err := c.p.Store.ForEach(ctx, prefix, after, func(row infra.Row) error {
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
		j.readAt, j.rangesReadVersion = began, version
	}
	return err
}

// claimedRange is a claimed range as known before the lease scan.
type claimedRange struct {
	job     core.JobID
	id      string
	version uint64
	session string
}

// claimedRanges returns the claimed ranges of all jobs.
func (c *Coordinator) claimedRanges() []claimedRange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []claimedRange
	for _, j := range c.jobs {
		for _, id := range j.rangeIDs[j.firstOpen:] {
			if r := j.ranges[id]; r.row.State == records.RangeClaimed {
				out = append(out, claimedRange{job: j.id, id: id, version: r.version, session: r.row.Session})
			}
		}
	}
	return out
}

// scanLeases reads all lease rows and updates the status of the sessions that hold
// the claimed ranges.
func (c *Coordinator) scanLeases(ctx context.Context, claimed []claimedRange) error {
	var rows []lease.RowVersion
	err := c.p.Store.ForEach(ctx, records.LeaseKeyPrefix, "", func(row infra.Row) error {
		rows = append(rows, lease.RowVersion{Session: row.Key[len(records.LeaseKeyPrefix):], Version: row.Version})
		return nil
	})
	if err != nil {
		return err
	}
	now := time.Now()
	c.observer.Update(rows, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range claimed {
		j := c.jobs[s.job]
		if j == nil {
			continue
		}
		if r := j.ranges[s.id]; r != nil && r.version == s.version {
			r.holder = c.observer.Status(s.session, now)
		}
	}
	return nil
}

// leaseSweepShard is the shard whose coordinator deletes the rows of abandoned
// leases.
const leaseSweepShard = 0

// sweepLeases deletes the lease rows of sessions that expired without holding
// ranges. No takeover deletes these rows.
func (c *Coordinator) sweepLeases(ctx context.Context, now time.Time) {
	for _, s := range c.observer.LongExpired(now) {
		c.deleteLease(ctx, holder{session: s.Session, leaseVersion: s.Version})
	}
}

// announceWork notifies the live nodes if there are ranges to offer or to split.
func (c *Coordinator) announceWork() {
	if !c.hasWork(time.Now()) {
		return
	}
	view := c.p.Members()
	for _, m := range view.Members() {
		if view.Live(m.ID) {
			// If the message is lost, the next scan sends another one.
			_ = c.p.Messenger.Send(m.ID, KindWorkAvailable, WorkAvailable{})
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
		if free, _ := j.counts(now); free > 0 || j.oldestHeld(now, c.p.Config.SplitAfter) != "" {
			return true
		}
	}
	return false
}
