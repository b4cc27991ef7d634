package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Report is the result of one run.
type Report struct {
	Seed uint64
	// Violations are the promises that were broken.
	Violations []string
	// Asked and Served count online requests, Jobs the accepted jobs.
	Asked, Served, Jobs int
}

// Run makes one run. An error says that the run could not be made; broken
// promises are in the report.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	events, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return report, err
	}
	defer events.Close()
	w, err := newWorld(o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return report, err
	}
	for _, b := range w.backends {
		usual(b)
	}
	oracle := newOracle()
	clients := newClients(w, oracle)
	start := time.Now()
	f := &faults{world: w, random: rand.New(rand.NewPCG(o.Seed, 0)), log: func(format string, args ...any) {
		fmt.Fprintf(events, "%7.3f %s %s\n", time.Since(start).Seconds(), time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
	}}
	clientCtx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	clients.start(clientCtx)
	faultCtx, stopFaults := context.WithTimeout(context.Background(), o.Faults)
	defer stopFaults()
	if err := f.run(faultCtx); err != nil {
		oracle.violate("%v", err)
	}
	stopClients()
	clients.wait.Wait()
	settle(clients, oracle, o.Calm)
	oracle.runs(w.backends)
	report.Violations, report.Asked, report.Served, report.Jobs = oracle.violations, oracle.asked, oracle.served, len(oracle.jobs)
	return report, nil
}

// settle reads the jobs at all nodes until each accepted one is complete.
func settle(c *clients, o *oracle, bound time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for node := 0; ; node++ {
		c.readAll(ctx, node)
		missing := o.incomplete()
		if len(missing) == 0 {
			break
		}
		if ctx.Err() != nil {
			o.violate("jobs %v are not complete %s after the faults", missing, bound)
			return
		}
		pause(ctx, 200*time.Millisecond)
	}
	for node := range c.world.vms {
		c.readAll(context.Background(), node)
	}
}
