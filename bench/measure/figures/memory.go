package figures

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/proc"
	"gentiantide.example/gentiantide/bench/measure/report"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	memoryTarget = 128.0
	// memoryItems is the number of items of the largest job in the design.
	memoryItems      = 610_000
	memoryItemsShort = 61_000
)

// jobMemory measures job_memory_mb: the peak resident memory (VmHWM, MiB) of a
// node from its start until it has accepted a job of 610,000 items, which is streamed
// to /v1/files and created by /v1/batches. The job is cancelled at once. A short run
// has a tenth of the items.
func jobMemory(ctx context.Context, e *env.Env) ([]report.Line, error) {
	items := memoryItems
	if e.Short() {
		items = memoryItemsShort
	}
	last := len(e.Fleet.Nodes) - 1
	api := e.API(last)
	pid := e.Fleet.Nodes[last].Process.PID()
	before, err := proc.PeakMemoryMiB(pid)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	var bytes int64
	file, err := api.Upload(ctx, "largest", func(w io.Writer) error {
		return e.BatchSpec(items, 0).Write(&countingWriter{w: w, n: &bytes})
	})
	if err != nil {
		return nil, err
	}
	uploaded := time.Since(start).Seconds()
	b, err := api.Create(ctx, "largest", file, workload.Path(e.Shape.Batch))
	if err != nil {
		return nil, err
	}
	peak, err := proc.PeakMemoryMiB(pid)
	if err != nil {
		return nil, err
	}
	if _, err := api.Cancel(ctx, b.ID); err != nil {
		return nil, err
	}
	for start := time.Now(); b.Status != "cancelled"; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			return nil, errors.Errorf("job %s is still %s 30 s after its cancellation", b.ID, b.Status)
		}
		if b, err = api.Get(ctx, b.ID); err != nil {
			return nil, err
		}
	}
	return []report.Line{{Measure: "job_memory_mb", Shape: e.Shape.Name, Value: peak, Target: report.FloatPtr(memoryTarget),
		N: items, Extra: []string{report.KeyValue("before_mb", before), report.KeyValue("upload_s", uploaded),
			report.KeyValue("file_mb", float64(bytes)/(1<<20))}}}, e.AwaitIdle(ctx)
}

// countingWriter adds the bytes written to n.
type countingWriter struct {
	w io.Writer
	n *int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	*c.n += int64(n)
	return n, err
}
