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
	// Violations describes each guarantee that was broken.
	Violations []string
	// Sent counts the online requests, Served those with a 2xx response, and Jobs
	// the accepted jobs.
	Sent, Served, Jobs int
	// Counts are further counts of a run with planned work, or with organisations.
	Counts map[string]int
}

// Run makes one run. It returns an error if the run could not be set up; broken
// guarantees are in the report.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	events, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return report, err
	}
	defer events.Close()
	tb, err := newTestbed(o, "dc-a")
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return report, err
	}
	oracle := newOracle()
	clients := newClients(tb, oracle)
	start := time.Now()
	f := &faultInjector{testbed: tb, rng: rand.New(rand.NewPCG(o.Seed, 0)), log: func(format string, args ...any) {
		fmt.Fprintf(events, "%7.3f %s %s\n", time.Since(start).Seconds(), time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
	}}
	clientCtx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	clients.start(clientCtx)
	if tb.keys != nil {
		clients.startKeyed(clientCtx, f.log)
	}
	faultCtx, stopFaults := context.WithTimeout(context.Background(), o.FaultDuration)
	defer stopFaults()
	if err := f.run(faultCtx); err != nil {
		oracle.addViolation("%v", err)
	}
	if o.Failures {
		time.Sleep(contactTime)
		phase := &failurePhase{testbed: tb, oracle: oracle, rng: rand.New(rand.NewPCG(o.Seed, 5)), log: f.log}
		phase.run()
	}
	if o.Organisations {
		time.Sleep(contactTime)
		phase := &cutPhase{testbed: tb, rng: rand.New(rand.NewPCG(o.Seed, 6)), log: f.log}
		if err := phase.run(); err != nil {
			return report, err
		}
	}
	if o.Notices {
		time.Sleep(contactTime)
		phase := &noticePhase{testbed: tb, oracle: oracle, rng: rand.New(rand.NewPCG(o.Seed, 3)), log: f.log}
		if err := phase.run(); err != nil {
			return report, err
		}
	}
	if o.Crashes {
		time.Sleep(contactTime)
		phase := &crashPhase{testbed: tb, clients: clients, oracle: oracle, rng: rand.New(rand.NewPCG(o.Seed, 2)), log: f.log}
		if err := phase.run(); err != nil {
			return report, err
		}
	}
	if o.Blame {
		time.Sleep(contactTime)
		phase := &blamePhase{testbed: tb, clients: clients, oracle: oracle, rng: rand.New(rand.NewPCG(o.Seed, 7)), log: f.log, dark: o.Dark}
		if err := phase.run(); err != nil {
			return report, err
		}
	}
	stopClients()
	clients.wg.Wait()
	awaitJobs(clients, oracle, o.RecoveryTimeout)
	oracle.checkExecutions(tb.backends)
	report.Counts = clients.checks.checkReplicas(tb.backends)
	oracle.checkFloor()
	report.Violations, report.Sent, report.Served, report.Jobs = oracle.violations, oracle.sent, oracle.served, len(oracle.jobs)
	return report, nil
}

// awaitJobs reads the jobs at all nodes until each accepted job is complete.
func awaitJobs(c *clients, o *oracle, bound time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	for node := 0; ; node++ {
		c.readAllJobs(ctx, node)
		missing := o.incompleteJobs()
		if len(missing) == 0 {
			break
		}
		if ctx.Err() != nil {
			o.addViolation("jobs %v have items without a result %s after the last fault", missing, bound)
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
	for node := range c.testbed.nodes {
		c.readAllJobs(context.Background(), node)
	}
}
