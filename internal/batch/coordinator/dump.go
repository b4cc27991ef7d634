package coordinator

import (
	"sort"
	"time"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// JobDump describes an open job in a Dump.
type JobDump struct {
	Job    core.JobID
	Org    core.Org
	State  records.JobState
	Due    time.Time
	Ranges int
	Done   int
	Free   int
	Held   int
	Ending bool
}

// Dump is a snapshot of the state of a coordinator for operators.
type Dump struct {
	Shards     []int
	LastScan   time.Time
	ScanErrors int
	Jobs       []JobDump
}

// Dump returns the state of the coordinator.
func (c *Coordinator) Dump() Dump {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Dump{LastScan: c.lastScan, ScanErrors: c.scanErrs}
	for shard := range c.p.Config.Shards {
		if c.ownsShard(shard) {
			d.Shards = append(d.Shards, shard)
		}
	}
	for _, j := range c.jobs {
		free, held := j.counts(now)
		d.Jobs = append(d.Jobs, JobDump{
			Job: j.id, Org: j.row.Org, State: j.row.State, Due: j.row.Due,
			Ranges: len(j.rangeIDs), Done: j.doneRanges, Free: free, Held: held, Ending: j.ending,
		})
	}
	sort.Slice(d.Jobs, func(a, b int) bool { return d.Jobs[a].Job < d.Jobs[b].Job })
	return d
}
