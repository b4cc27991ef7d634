package roles

import (
	"fmt"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/internal/batch"
)

const (
	// scanSettle lets the nodes claim what they can hold.
	scanSettle = 4 * time.Second
	// scanWindow is twice the 10 s after which range rows are read again.
	scanWindow = 20 * time.Second
)

// scanRun is the scans of nodes with jobs that stay open and have ranges left.
type scanRun struct {
	nodes, jobs  int
	reads, rows  map[string]float64
	writes, sent float64
	err          error
}

func (r *scanRun) run() {
	cfg := batch.DefaultConfig()
	// Ranges of 16 items fill the window of 64 with four open ranges.
	cfg.RangeSizes = []int{16}
	b, err := newBatchNodes(1, r.nodes, cfg, stuck)
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
	time.Sleep(scanSettle)
	before, bytes, began := b.table.Counts(), b.sent(), time.Now()
	time.Sleep(scanWindow)
	after, took := b.table.Counts(), time.Since(began).Seconds()
	r.reads, r.rows = rates(before.Reads, after.Reads, took), rates(before.RowsRead, after.RowsRead, took)
	r.writes = (meter.Sum(after.Commits) - meter.Sum(before.Commits)) / took
	r.sent = (b.sent() - bytes) / took / float64(r.nodes)
}

func rates(before, after map[string]int, seconds float64) map[string]float64 {
	out := make(map[string]float64)
	for key, n := range after {
		out[key] = float64(n-before[key]) / seconds
	}
	return out
}
