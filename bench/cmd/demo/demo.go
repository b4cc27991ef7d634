package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	// drainLimit is the required time after which a drained backend server gets no
	// new requests.
	drainLimit = 3 * time.Second
	// jobTimeout limits the wait for the main job, so that the demo ends in time.
	jobTimeout = 30 * time.Second
)

// demo is one run of the scenario.
type demo struct {
	// bin is the directory of the programs, dir that for the files of this run.
	bin, dir string
	fleet    *harness.Fleet
	client   *client.Client
	balancer balancer
	report   *report

	online  *onlineLoad
	permits *permitLoad
	streams *longStreams
}

// runScenario sends load from callers while operators change settings and drain a
// backend server, a job is cancelled, nodes are killed and stopped, and the table
// service fails.
func (d *demo) runScenario() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	d.online, d.permits, d.streams = &onlineLoad{demo: d}, &permitLoad{demo: d}, &longStreams{demo: d}
	var load sync.WaitGroup
	load.Go(func() { d.online.run(loadCtx) })
	load.Go(func() { d.permits.run(loadCtx) })

	main := &job{demo: d, key: "card-lines", org: "print-shop", spec: workload.JobSpec{
		Kind: workload.CardLines, Model: modelName, Items: 2400,
		LongEvery: 400, LongFactor: 20, PoisonEvery: 300, PoisonMarker: poisonMarker}}
	if err := main.start(); err != nil {
		return err
	}
	steps := []func() error{
		func() error { return d.repeatCreation(main) },
		d.changeRootSetting, d.cancelJob, d.drainEngine, d.killNode, d.stopNode, d.tableOutage,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.checkMainJob(ctx, main)
	endLoad()
	load.Wait()
	return d.checkLoad()
}

// prepare creates the deployments, sets the faults of the backend servers and
// waits until all nodes are ready.
func (d *demo) prepare(ctx context.Context) error {
	if err := d.fleet.WaitReady(d.fleet.Nodes[0]); err != nil {
		return err
	}
	if err := d.deploy(); err != nil {
		return err
	}
	for _, e := range d.fleet.Engines {
		if err := d.fleet.SetFault(e.URL(), engine.Fault{Poison: poisonMarker}); err != nil {
			return err
		}
	}
	for _, p := range d.fleet.PlainServers {
		if err := d.fleet.SetFault(p.URL(), map[string]any{"drop_before": 0.05, "drop_after": 0.05, "refuse": 0.05}); err != nil {
			return err
		}
	}
	for _, n := range d.fleet.Nodes {
		if err := d.fleet.WaitReady(n); err != nil {
			return err
		}
		if _, err := d.awaitSetting(n, "/services/"+plainDeployment, "route", `"/permit-desk/"`, propagationLimit); err != nil {
			return err
		}
	}
	go d.balancer.run(ctx, d.fleet.Nodes)
	for d.balancer.pick() == "" {
		time.Sleep(healthCheckInterval)
	}
	return nil
}

// repeatCreation creates a job again with the same key and checks that it is the
// same job.
func (d *demo) repeatCreation(j *job) error {
	again, err := j.create()
	if err != nil {
		return err
	}
	d.report.check("a repeated job creation returns the same job", again == j.id, "first response has id %s, second %s", j.id, again)
	return nil
}

// changeRootSetting changes a setting at the root of the settings tree and checks
// when it is in force on every node.
func (d *demo) changeRootSetting() error {
	before, err := d.fleet.ReadSettings(d.fleet.Nodes[1], "/services/"+engineDeployment)
	if err != nil {
		return err
	}
	if err := d.runCLI(d.fleet.Nodes[1], "settings", "set", "/", "online.queue_limit=96"); err != nil {
		return err
	}
	var slowest time.Duration
	for _, n := range d.fleet.Nodes {
		took, err := d.awaitSetting(n, "/services/"+engineDeployment, "online.queue_limit", "96", propagationLimit)
		if err != nil {
			d.report.check("a settings change at the root is in force on every node within 5 s", false, "%v", err)
			return nil
		}
		slowest = max(slowest, took)
	}
	d.report.check("a settings change at the root is in force on every node within 5 s", true,
		"queue limit of %s changed from %s to 96 on %d nodes, slowest node after %d ms", engineDeployment,
		before.Value("online.queue_limit"), len(d.fleet.Nodes), slowest.Milliseconds())
	return nil
}

// cancelJob starts a second job, cancels it and checks that no item of it starts
// once the job is reported as cancelled.
func (d *demo) cancelJob() error {
	j := &job{demo: d, key: "withdrawn-run", org: "other-shop", spec: workload.JobSpec{
		Kind: workload.CardLines, Model: modelName, Items: 1200}}
	if err := j.start(); err != nil {
		return err
	}
	if err := d.awaitStarts(j.id); err != nil {
		return err
	}
	if err := j.cancel(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	b, err := j.await(ctx, "cancelled")
	if err != nil {
		d.report.check("no item of a cancelled job starts", false, "%v", err)
		return nil
	}
	before, err := d.startsOf(j.id)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	after, err := d.startsOf(j.id)
	if err != nil {
		return err
	}
	again, err := j.get()
	if err != nil {
		return err
	}
	d.report.check("no item of a cancelled job starts", before > 0 && before == after && again.RequestCounts == b.RequestCounts,
		"%d items started on engines when the job was cancelled, %d a second later; %d of %d items had completed",
		before, after, b.RequestCounts.Completed, b.RequestCounts.Total)
	return nil
}

// awaitStarts waits until the first item of a job has started.
func (d *demo) awaitStarts(jobID string) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		n, err := d.startsOf(jobID)
		if err != nil || n > 0 {
			return err
		}
	}
	return errors.Errorf("no item of job %s started within 10 s", jobID)
}

// startsOf returns how often all engines have started requests of a job. Their ids
// contain the id of the job.
func (d *demo) startsOf(jobID string) (int, error) {
	total := 0
	for _, e := range d.fleet.Engines {
		var stats engine.Stats
		if err := d.fleet.GetJSON(context.Background(), e.URL()+"/stats?ids=true", &stats); err != nil {
			return 0, err
		}
		for id, s := range stats.ByID {
			if strings.Contains(id, jobID) {
				total += s.Starts
			}
		}
	}
	return total, nil
}

// drainEngine drains an engine and checks that it gets no requests after
// drainLimit.
func (d *demo) drainEngine() error {
	drained := d.fleet.Engines[1]
	if err := d.drain(d.fleet.Nodes[2], drained.VM.ID); err != nil {
		return err
	}
	time.Sleep(drainLimit)
	var before, after engine.Stats
	if err := d.fleet.GetJSON(context.Background(), drained.URL()+"/stats", &before); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := d.fleet.GetJSON(context.Background(), drained.URL()+"/stats", &after); err != nil {
		return err
	}
	d.report.check("a drained backend server gets no new requests after 3 s", before.Accepted == after.Accepted && before.Accepted > 0,
		"%d requests accepted 3 s after the drain, %d a second later, %d still running", before.Accepted, after.Accepted, after.Running)
	return nil
}

// killNode kills a node, starts it again and checks that it has the current
// settings.
func (d *demo) killNode() error {
	n := d.fleet.Nodes[1]
	n.Process.Kill()
	time.Sleep(1500 * time.Millisecond)
	if err := d.fleet.StartNode(n); err != nil {
		return err
	}
	if err := d.fleet.WaitReady(n); err != nil {
		return err
	}
	_, err := d.awaitSetting(n, "/services/"+engineDeployment, "online.queue_limit", "96", propagationLimit)
	d.report.check("a restarted node has the current settings", err == nil, "queue limit 96 on %s after a kill and restart", n.ID)
	return nil
}

// stopNode stops a node gracefully while long streams run through it and checks
// that all of them complete.
func (d *demo) stopNode() error {
	n := d.fleet.Nodes[2]
	const streams = 12
	d.streams.start(n, streams)
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	n.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.Process.Done():
	case <-time.After(15 * time.Second):
		return errors.Errorf("node %s did not stop within 15 s", n.ID)
	}
	complete, problem := d.streams.finish()
	d.report.check("a graceful shutdown breaks no request", complete == streams && n.Process.Err() == nil,
		"%d of %d streams complete, node exited after %.1f s%s", complete, streams, time.Since(start).Seconds(), problem)
	if err := d.fleet.StartNode(n); err != nil {
		return err
	}
	return d.fleet.WaitReady(n)
}

// tableOutage makes the table service fail for a while and then lose the responses
// to a tenth of its writes. During the outage online requests go on, and calls that
// need a durable record are refused as "not run".
func (d *demo) tableOutage() error {
	if err := d.fleet.SetFault("http://"+d.fleet.Table, map[string]any{"down": true}); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return d.fleet.SetFault("http://"+d.fleet.Table, map[string]any{"lose_answers": 0.1})
}

// checkMainJob waits for the end of the main job and checks its results.
func (d *demo) checkMainJob(ctx context.Context, j *job) {
	const name = "every accepted item completes exactly once"
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	b, err := j.await(ctx, "completed", "failed")
	if err != nil {
		d.report.check(name, false, "%v", err)
		return
	}
	o, err := j.countResults(b.OutputFileID)
	if err != nil {
		d.report.check(name, false, "%v", err)
		return
	}
	ok := o.lines == j.spec.Items && o.correct+o.failed == j.spec.Items && o.failed == j.spec.Items/j.spec.PoisonEvery
	problem := ""
	if o.problem != "" {
		problem = "; first problem: " + o.problem
	}
	d.report.check(name, ok, "%d items: %d correct, %d poison items ended with an error, %d incorrect, %d duplicated, %d unexpected%s",
		j.spec.Items, o.correct, o.failed, o.incorrect, o.duplicated, o.unexpected, problem)
}

// checkLoad checks the responses that callers received during the whole run.
func (d *demo) checkLoad() error {
	o := d.online
	share, p95 := o.firstTokenStats()
	d.report.check("online requests do not wait behind batch items", share >= requiredShare,
		"%.1f%% of %d streams had their first token within 1.4 s, 95th percentile %d ms", share*100, len(o.firstToken), p95.Milliseconds())
	d.report.check("each caller gets the complete answer to its own request", o.sent > 0 && o.complete == o.sent,
		"%d of %d answers complete and correct, %d incorrect, %d interrupted, %d refused, %d retries%s", o.complete, o.sent, o.incorrect, o.interrupted, o.refused, o.retried, problems(o.problems))
	executions, err := d.permits.executions()
	if err != nil {
		return err
	}
	p := d.permits
	duplicated, lost, falseNotRun := 0, 0, 0
	for _, n := range executions {
		if n > 1 {
			duplicated++
		}
	}
	for permit := range p.issued {
		if executions[permit] == 0 {
			lost++
		}
	}
	for permit := range p.notRun {
		if executions[permit] > 0 {
			falseNotRun++
		}
	}
	d.report.check("a non-idempotent call runs at most once", p.sent > 0 && len(p.issued) > p.sent/2 && duplicated == 0 && lost == 0,
		"%d permits sent %d times each: %d executed, %d of them more than once; %d reported as issued, %d of them not executed; %d responses with unknown outcome",
		p.sent, sendsPerPermit, len(executions), duplicated, len(p.issued), lost, p.unknownOutcomes)
	d.report.check(`a call refused as "not run" has not run`, p.notRunResponses > 0 && falseNotRun == 0,
		"%d responses said not run; %d permits got no other response, %d of them executed", p.notRunResponses, len(p.notRun), falseNotRun)
	return nil
}

func problems(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("; first problems: %s", strings.Join(list, " | "))
}
