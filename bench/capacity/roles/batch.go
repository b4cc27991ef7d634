package roles

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

// Batch measures jobs against items, the scans against open jobs, leases
// against nodes, and memory.
func Batch(c *Context) error {
	for _, measure := range []func() error{c.items, c.counts, c.window, c.openRanges, c.upload} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// items measures jobs of several lengths on four nodes.
func (c *Context) items() error {
	cpu := &slope.Slope{Name: "batch.cpu_per_item", Unit: "us"}
	txns := &slope.Slope{Name: "batch.transactions_per_item", Unit: "1"}
	rows := &slope.Slope{Name: "batch.rows_written_per_item", Unit: "1"}
	reads := &slope.Slope{Name: "batch.reads_per_item", Unit: "1"}
	puts := &slope.Slope{Name: "batch.object_puts_per_item", Unit: "1"}
	gets := &slope.Slope{Name: "batch.object_gets_per_item", Unit: "1"}
	sent := &slope.Slope{Name: "batch.sent_per_item", Unit: "B"}
	for _, n := range []int{1000, 4000, 16000, 40000} {
		b, err := newBatchNodes(1, 4, batch.DefaultConfig(), quick)
		if err != nil {
			return err
		}
		used, x := meter.CPU(), float64(n)
		id, err := b.submit("job-a", n, 200)
		if err == nil {
			err = b.await(id, 30*time.Second)
		}
		cpu.Add(x, micros(meter.CPU()-used))
		counts := b.table.Counts()
		txns.Add(x, meter.Sum(counts.Commits)-float64(counts.Commits["lease"]))
		rows.Add(x, meter.Sum(counts.RowsWritten)-float64(counts.RowsWritten["lease"]))
		reads.Add(x, float64(counts.Reads["job"]+counts.Reads["range"]+counts.Reads["file"]))
		puts.Add(x, float64(b.objects.Puts.Load()))
		gets.Add(x, float64(b.objects.Gets.Load()))
		sent.Add(x, b.sent())
		b.close()
		if err != nil {
			return err
		}
	}
	for _, s := range []*slope.Slope{cpu, txns, rows, reads, puts, gets, sent} {
		c.Print.Slope(s)
	}
	return nil
}

// counts measures what needs no processor time, all at the same time.
func (c *Context) counts() error {
	var regions error
	var wait sync.WaitGroup
	wait.Go(func() { regions = c.regions() })
	err := c.scans()
	wait.Wait()
	if regions != nil {
		return regions
	}
	return err
}

// regions measures the same job on nodes of several regions, which share the
// table and exchange no messages.
func (c *Context) regions() error {
	conflicts := &slope.Slope{Name: "batch.conflicts_per_region", Unit: "transactions"}
	txns := &slope.Slope{Name: "batch.transactions_per_region", Unit: "transactions"}
	for _, n := range []int{1, 2, 3} {
		b, err := newBatchNodes(n, 4, batch.DefaultConfig(), slow)
		if err != nil {
			return err
		}
		id, err := b.submit("job-a", 24_000, 200)
		if err == nil {
			err = b.await(id, 60*time.Second)
		}
		counts := b.table.Counts()
		b.close()
		if err != nil {
			return err
		}
		conflicts.Add(float64(n), float64(counts.Conflicts["range"]+counts.Conflicts["job"]))
		txns.Add(float64(n), meter.Sum(counts.Commits)-float64(counts.Commits["lease"]))
	}
	c.Print.Slope(conflicts)
	c.Print.Slope(txns)
	return nil
}

// scans measures the coordinators' scans against open jobs and against nodes.
// The runs take place at the same time: they share nothing but the processor,
// which is not measured here.
func (c *Context) scans() error {
	prefixes := []string{"open", "job", "range", "lease"}
	var runs []*scanRun
	for _, jobs := range []int{0, 30, 90} {
		runs = append(runs, &scanRun{nodes: 4, jobs: jobs})
	}
	for _, nodes := range []int{4, 16, 33} {
		runs = append(runs, &scanRun{nodes: nodes, jobs: 4 * nodes})
	}
	var wait sync.WaitGroup
	for _, r := range runs {
		wait.Go(r.run)
	}
	wait.Wait()
	for i, against := range []string{"open_job", "node"} {
		for _, prefix := range prefixes {
			reads := &slope.Slope{Name: "batch." + prefix + "_reads_per_" + against, Unit: "reads/s"}
			rows := &slope.Slope{Name: "batch." + prefix + "_rows_read_per_" + against, Unit: "rows/s"}
			for _, r := range runs[3*i : 3*i+3] {
				if r.err != nil {
					return r.err
				}
				x := []float64{float64(r.jobs), float64(r.nodes)}[i]
				reads.Add(x, r.reads[prefix])
				rows.Add(x, r.rows[prefix])
			}
			c.Print.Slope(reads)
			c.Print.Slope(rows)
		}
	}
	writes := &slope.Slope{Name: "batch.lease_writes_per_node", Unit: "writes/s"}
	sent := &slope.Slope{Name: "batch.sent_per_node", Unit: "B/s/node"}
	for _, r := range runs[3:] {
		writes.Add(float64(r.nodes), r.writes)
		sent.Add(float64(r.nodes), r.sent)
	}
	c.Print.Slope(writes)
	c.Print.Slope(sent)
	return nil
}

// window measures the memory of items in flight: objects and stacks, without
// those of a request in the relay.
func (c *Context) window() error {
	heap := &slope.Slope{Name: "batch.memory_per_item_in_flight", Unit: "B"}
	for _, window := range []int{1, 400, 1000} {
		cfg := batch.DefaultConfig()
		cfg.Window, cfg.OpenRanges, cfg.RangeSizes = window, 1, []int{1000}
		cfg.ResultMemory = 1 << 30
		objects, stacks, err := heldMemory(cfg, window, 1)
		if err != nil {
			return err
		}
		heap.Add(float64(window), objects+stacks)
	}
	c.Print.Slope(heap)
	return nil
}

// openRanges measures the memory of open ranges of 1,000 items of 1 KB.
func (c *Context) openRanges() error {
	heap := &slope.Slope{Name: "batch.heap_per_open_range", Unit: "B"}
	for _, open := range []int{1, 2, 4} {
		cfg := batch.DefaultConfig()
		// A window above the items of the ranges makes the worker claim them all.
		cfg.OpenRanges, cfg.Window, cfg.RangeSizes = open, 4001, []int{1000}
		cfg.ResultMemory = 1 << 30
		bytes, _, err := heldMemory(cfg, 1000*open, open)
		if err != nil {
			return err
		}
		heap.Add(float64(open), bytes)
	}
	c.Print.Slope(heap)
	return nil
}

// heldMemory returns the memory of one node whose items run and do not end.
func heldMemory(cfg batch.Config, running, ranges int) (objects, stacks float64, err error) {
	var started atomic.Int64
	b, err := newBatchNodes(1, 1, cfg, func(ctx context.Context, item batch.Item) batch.Outcome {
		started.Add(1)
		return stuck(ctx, item)
	})
	if err != nil {
		return 0, 0, err
	}
	defer b.close()
	before, stacksBefore := meter.Heap(), meter.Stacks()
	// The file itself stays in the object store of the same process.
	items := 1000 * ranges
	if _, err := b.submit("job-a", items, 900); err != nil {
		return 0, 0, err
	}
	stored := float64(b.objects.Bytes.Load())
	for deadline := time.Now().Add(10 * time.Second); started.Load() < int64(running); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return 0, 0, fmt.Errorf("%d of %d items started", started.Load(), running)
		}
	}
	time.Sleep(200 * time.Millisecond)
	objects = meter.Heap() - before - stored
	return objects, meter.Stacks() - stacksBefore, nil
}

// upload measures the largest heap, garbage included, while files of several
// lengths are accepted, and the processor time.
func (c *Context) upload() error {
	heap := &slope.Slope{Name: "accept.peak_heap_per_byte", Unit: "B"}
	cpu := &slope.Slope{Name: "accept.cpu_per_item", Unit: "us"}
	puts := &slope.Slope{Name: "accept.object_puts_per_item", Unit: "1"}
	for _, items := range []int{10_000, 50_000, 200_000} {
		objects := &meter.Objects{Objects: infratest.NewObjects(), Discard: true}
		in := intake.New(intake.Params{Store: store.New(infratest.NewTable(), objects, batch.DefaultConfig()),
			Config: batch.DefaultConfig(), Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		before, used := meter.Heap(), meter.CPU()
		peak := watchHeap()
		upload, refusal := in.Receive(context.Background(), core.Org("org"), "", "file", lines(items, 200))
		if refusal != nil {
			return refusal
		}
		if _, refusal := upload.Seal(context.Background(), "batch"); refusal != nil {
			return refusal
		}
		heap.Add(float64(objects.Bytes.Load()), peak()-before)
		cpu.Add(float64(items), micros(meter.CPU()-used))
		puts.Add(float64(items), float64(objects.Puts.Load()))
	}
	for _, s := range []*slope.Slope{heap, cpu, puts} {
		c.Print.Slope(s)
	}
	return nil
}

// watchHeap samples the heap until the function that it returns is called,
// which returns the largest sample.
func watchHeap() func() float64 {
	stop, result := make(chan struct{}), make(chan float64)
	go func() {
		peak := 0.0
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, float64(m.HeapAlloc))
			select {
			case <-stop:
				result <- peak
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() float64 { close(stop); return <-result }
}
