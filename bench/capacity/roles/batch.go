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

// Batch measures the cost of jobs by number of items, of scans by number of open
// jobs and nodes, of leases by number of nodes, and the memory of batch work.
func Batch(env *Environment) error {
	for _, measure := range []func() error{env.measureItems, env.measureCounts, env.measureItemMemory, env.measureRangeMemory, env.measureUpload} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// measureItems measures jobs with different numbers of items on four nodes.
func (env *Environment) measureItems() error {
	cpu := &slope.Slope{Name: "batch.cpu_per_item", Unit: "us"}
	txns := &slope.Slope{Name: "batch.transactions_per_item", Unit: "1"}
	rows := &slope.Slope{Name: "batch.rows_written_per_item", Unit: "1"}
	reads := &slope.Slope{Name: "batch.reads_per_item", Unit: "1"}
	puts := &slope.Slope{Name: "batch.object_puts_per_item", Unit: "1"}
	gets := &slope.Slope{Name: "batch.object_gets_per_item", Unit: "1"}
	sent := &slope.Slope{Name: "batch.sent_per_item", Unit: "B"}
	for _, n := range []int{1000, 4000, 16000, 40000} {
		b, err := newBatchNodes(1, 4, batch.DefaultConfig(), run1ms)
		if err != nil {
			return err
		}
		used, x := meter.CPUTime(), float64(n)
		id, err := b.submit("job-a", n, 200)
		if err == nil {
			err = b.await(id, 30*time.Second)
		}
		cpu.Add(x, microseconds(meter.CPUTime()-used))
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
		env.Print.Slope(s)
	}
	return nil
}

// measureCounts runs the measurements that count calls and messages. They do not
// measure CPU time, so they can run concurrently.
func (env *Environment) measureCounts() error {
	var regionsErr error
	var wait sync.WaitGroup
	wait.Go(func() { regionsErr = env.measureRegions() })
	err := env.measureScans()
	wait.Wait()
	if regionsErr != nil {
		return regionsErr
	}
	return err
}

// measureRegions measures the same job on the nodes of one to three regions, which
// share the table and exchange no messages.
func (env *Environment) measureRegions() error {
	conflicts := &slope.Slope{Name: "batch.conflicts_per_region", Unit: "transactions"}
	txns := &slope.Slope{Name: "batch.transactions_per_region", Unit: "transactions"}
	for _, n := range []int{1, 2, 3} {
		b, err := newBatchNodes(n, 4, batch.DefaultConfig(), run10ms)
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
	env.Print.Slope(conflicts)
	env.Print.Slope(txns)
	return nil
}

// measureScans measures the coordinators' scans by number of open jobs and by number
// of nodes. The runs are concurrent: they share only the CPU, whose use is not
// measured here.
func (env *Environment) measureScans() error {
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
	for i, dimension := range []string{"open_job", "node"} {
		for _, prefix := range prefixes {
			reads := &slope.Slope{Name: "batch." + prefix + "_reads_per_" + dimension, Unit: "reads/s"}
			rows := &slope.Slope{Name: "batch." + prefix + "_rows_read_per_" + dimension, Unit: "rows/s"}
			for _, r := range runs[3*i : 3*i+3] {
				if r.err != nil {
					return r.err
				}
				x := []float64{float64(r.jobs), float64(r.nodes)}[i]
				reads.Add(x, r.reads[prefix])
				rows.Add(x, r.rows[prefix])
			}
			env.Print.Slope(reads)
			env.Print.Slope(rows)
		}
	}
	writes := &slope.Slope{Name: "batch.lease_writes_per_node", Unit: "writes/s"}
	sent := &slope.Slope{Name: "batch.sent_per_node", Unit: "B/s/node"}
	for _, r := range runs[3:] {
		writes.Add(float64(r.nodes), r.writes)
		sent.Add(float64(r.nodes), r.sent)
	}
	env.Print.Slope(writes)
	env.Print.Slope(sent)
	return nil
}

// measureItemMemory measures the heap and stacks of items in flight, without those
// of their requests in the relay.
func (env *Environment) measureItemMemory() error {
	heap := &slope.Slope{Name: "batch.memory_per_item_in_flight", Unit: "B"}
	for _, inFlight := range []int{1, 400, 1000} {
		cfg := batch.DefaultConfig()
		cfg.MaxInFlight, cfg.MaxOpenRanges, cfg.RangeSizes = inFlight, 1, []int{1000}
		cfg.MaxResultMemory = 1 << 30
		objects, stacks, err := inFlightMemory(cfg, inFlight, 1)
		if err != nil {
			return err
		}
		heap.Add(float64(inFlight), objects+stacks)
	}
	env.Print.Slope(heap)
	return nil
}

// measureRangeMemory measures the heap of open ranges of 1,000 items of 1 KB.
func (env *Environment) measureRangeMemory() error {
	heap := &slope.Slope{Name: "batch.heap_per_open_range", Unit: "B"}
	for _, open := range []int{1, 2, 4} {
		cfg := batch.DefaultConfig()
		// The worker claims all ranges if MaxInFlight exceeds the number of their items.
		cfg.MaxOpenRanges, cfg.MaxInFlight, cfg.RangeSizes = open, 4001, []int{1000}
		cfg.MaxResultMemory = 1 << 30
		bytes, _, err := inFlightMemory(cfg, 1000*open, open)
		if err != nil {
			return err
		}
		heap.Add(float64(open), bytes)
	}
	env.Print.Slope(heap)
	return nil
}

// inFlightMemory returns the bytes of objects and of stacks of one node while its
// items run and do not end.
func inFlightMemory(cfg batch.Config, running, ranges int) (objects, stacks float64, err error) {
	var started atomic.Int64
	b, err := newBatchNodes(1, 1, cfg, func(ctx context.Context, item batch.Item) batch.Outcome {
		started.Add(1)
		return runUntilCancelled(ctx, item)
	})
	if err != nil {
		return 0, 0, err
	}
	defer b.close()
	before, stacksBefore := meter.HeapBytes(), meter.StackBytes()
	// The object store in the same process holds the file, so stored is subtracted.
	items := 1000 * ranges
	if _, err := b.submit("job-a", items, 900); err != nil {
		return 0, 0, err
	}
	stored := float64(b.objects.Bytes.Load())
	for deadline := time.Now().Add(10 * time.Second); started.Load() < int64(running); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return 0, 0, fmt.Errorf("only %d of %d items started within 10 s", started.Load(), running)
		}
	}
	time.Sleep(200 * time.Millisecond)
	objects = meter.HeapBytes() - before - stored
	return objects, meter.StackBytes() - stacksBefore, nil
}

// measureUpload measures the peak heap, garbage included, and the CPU time while
// files with different numbers of items are accepted.
func (env *Environment) measureUpload() error {
	heap := &slope.Slope{Name: "accept.peak_heap_per_byte", Unit: "B"}
	cpu := &slope.Slope{Name: "accept.cpu_per_item", Unit: "us"}
	puts := &slope.Slope{Name: "accept.object_puts_per_item", Unit: "1"}
	for _, items := range []int{10_000, 50_000, 200_000} {
		objects := &meter.Objects{Objects: infratest.NewObjects(), Discard: true}
		in := intake.New(intake.Params{Store: store.New(infratest.NewTable(), objects, batch.DefaultConfig()),
			Config: batch.DefaultConfig(), Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		before, used := meter.HeapBytes(), meter.CPUTime()
		peak := sampleHeap()
		upload, refusal := in.Receive(context.Background(), core.Org("org"), "", "file", newInputFile(items, 200))
		if refusal != nil {
			return refusal
		}
		if _, refusal := upload.Accept(context.Background(), "batch"); refusal != nil {
			return refusal
		}
		heap.Add(float64(objects.Bytes.Load()), peak()-before)
		cpu.Add(float64(items), microseconds(meter.CPUTime()-used))
		puts.Add(float64(items), float64(objects.Puts.Load()))
	}
	for _, s := range []*slope.Slope{heap, cpu, puts} {
		env.Print.Slope(s)
	}
	return nil
}

// sampleHeap samples the size of the heap until the returned function is called,
// which returns the largest sample.
func sampleHeap() func() float64 {
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
