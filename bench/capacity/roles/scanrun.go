package roles

import (
	"fmt"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/internal/batch"
)

const (
	// scanWarmup is the time for the nodes to claim as many ranges as they can hold.
	scanWarmup = 4 * time.Second
	// scanWindow covers two of the 10 s intervals at which range rows are reread.
	scanWindow = 20 * time.Second
)

// scanRun measures the scans of nodes while every job stays open and has ranges that
// no node has claimed.
type scanRun struct {
	nodes, jobs  int
	reads, rows  map[string]float64
	writes, sent float64
	err          error
}

func (r *scanRun) run() {
	cfg := batch.DefaultConfig()
	// With ranges of 16 items, four open ranges have as many items as MaxInFlight (64).
	cfg.RangeSizes = []int{16}
	b, err := newBatchNodes(1, r.nodes, cfg, runUntilCancelled)
	if err != nil {
		r.err = err
		return
	}
	defer b.close()
	for i := range r.jobs {
		if _, r.err = b.submit(fmt.Sprintf("job-%d", i), 16*8, 64); r.err != nil {
			return
		}
	}
	time.Sleep(scanWarmup)
	before, bytes, began := b.table.Counts(), b.sent(), time.Now()
	time.Sleep(scanWindow)
	after, took := b.table.Counts(), time.Since(began).Seconds()
	r.reads, r.rows = rates(before.Reads, after.Reads, took), rates(before.RowsRead, after.RowsRead, took)
	r.writes = (meter.Sum(after.Commits) - meter.Sum(before.Commits)) / took
	r.sent = (b.sent() - bytes) / took / float64(r.nodes)
}

// rates returns the increase of each count per second.
func rates(before, after map[string]int, seconds float64) map[string]float64 {
	out := make(map[string]float64)
	for key, n := range after {
		out[key] = float64(n-before[key]) / seconds
	}
	return out
}
