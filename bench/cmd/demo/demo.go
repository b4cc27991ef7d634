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
	// drainBound is the users' bound for a leaving backend server.
	drainBound = 3 * time.Second
	// jobBound ends the wait for the main job, so that the demo ends in time.
	jobBound = 30 * time.Second
)

// demo is one run of the scenario.
type demo struct {
	bin, dir string // programs; files of this run
	fleet    *harness.Fleet
	client   *client.Client
	balancer balancer
	report   *report

	online  *onlineLoad
	permits *permitLoad
	streams *longStreams
}

// play runs the scenario: load from callers, while operators change settings,
// cancel a job and drain a backend server, and nodes are killed and stopped.
func (d *demo) play() error {
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
		func() error { return d.resend(main) },
		d.changeAtRoot, d.cancelJob, d.drainEngine, d.killNode, d.stopNode, d.tableOutage,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	d.finishJob(ctx, main)
	endLoad()
	load.Wait()
	return d.judgeLoad()
}

func (d *demo) prepare(ctx context.Context) error {
	if err := d.fleet.WaitReady(d.fleet.Nodes[0]); err != nil {
		return err
	}
	if err := d.deploy(); err != nil {
		return err
	}
	for _, e := range d.fleet.Engines {
		if err := d.fleet.Fault(e.URL(), engine.Fault{Poison: poisonMarker}); err != nil {
			return err
		}
	}
	for _, p := range d.fleet.PlainServers {
		if err := d.fleet.Fault(p.URL(), map[string]any{"drop_before": 0.05, "drop_after": 0.05, "refuse": 0.05}); err != nil {
			return err
		}
	}
	for _, n := range d.fleet.Nodes {
		if err := d.fleet.WaitReady(n); err != nil {
			return err
		}
		if _, err := d.awaitValue(n, "/services/"+plainDeployment, "route", `"/permit-desk/"`, inForceBound); err != nil {
			return err
		}
	}
	go d.balancer.run(ctx, d.fleet.Nodes)
	for d.balancer.pick() == "" {
		time.Sleep(checkInterval)
	}
	return nil
}

func (d *demo) resend(j *job) error {
	again, err := j.create()
	if err != nil {
		return err
	}
	d.report.promise("a resent job is the same job", again == j.id, "first answer %s, second %s", j.id, again)
	return nil
}

func (d *demo) changeAtRoot() error {
	before, err := d.fleet.ReadSettings(d.fleet.Nodes[1], "/services/"+engineDeployment)
	if err != nil {
		return err
	}
	if err := d.gentiantide(d.fleet.Nodes[1], "settings", "set", "/", "online.queue_limit=96"); err != nil {
		return err
	}
	var slowest time.Duration
	for _, n := range d.fleet.Nodes {
		took, err := d.awaitValue(n, "/services/"+engineDeployment, "online.queue_limit", "96", inForceBound)
		if err != nil {
			d.report.promise("a change at the root is in force everywhere within 5 s", false, "%v", err)
			return nil
		}
		slowest = max(slowest, took)
	}
	d.report.promise("a change at the root is in force everywhere within 5 s", true,
		"queue limit of %s from %s to 96 on %d nodes, slowest %d ms", engineDeployment,
		before.Value("online.queue_limit"), len(d.fleet.Nodes), slowest.Milliseconds())
	return nil
}

// cancelJob starts a second job, cancels it and checks that nothing of it
// starts after the acknowledgement.
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
		d.report.promise("a cancelled job stops", false, "%v", err)
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
	d.report.promise("a cancelled job stops", before > 0 && before == after && again.RequestCounts == b.RequestCounts,
		"%d starts on engines at the acknowledgement, %d a second later; %d of %d items had completed",
		before, after, b.RequestCounts.Completed, b.RequestCounts.Total)
	return nil
}

// awaitStarts waits until items of a job run.
func (d *demo) awaitStarts(jobID string) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		n, err := d.startsOf(jobID)
		if err != nil || n > 0 {
			return err
		}
	}
	return errors.Errorf("no item of job %s started within 10 s", jobID)
}

// startsOf counts the starts on all engines of requests whose id names a job.
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

func (d *demo) drainEngine() error {
	victim := d.fleet.Engines[1]
	if err := d.drain(d.fleet.Nodes[2], victim.VM.ID); err != nil {
		return err
	}
	time.Sleep(drainBound)
	var before, after engine.Stats
	if err := d.fleet.GetJSON(context.Background(), victim.URL()+"/stats", &before); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := d.fleet.GetJSON(context.Background(), victim.URL()+"/stats", &after); err != nil {
		return err
	}
	d.report.promise("a drained backend server gets no new work after 3 s", before.Accepted == after.Accepted && before.Accepted > 0,
		"%d requests accepted 3 s after the drain, %d a second later, %d still running", before.Accepted, after.Accepted, after.Running)
	return nil
}

// killNode ends a node without warning and starts it again.
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
	_, err := d.awaitValue(n, "/services/"+engineDeployment, "online.queue_limit", "96", inForceBound)
	d.report.promise("a restarted node has the settings in force", err == nil, "queue limit 96 on %s after a kill", n.ID)
	return nil
}

// stopNode stops a node gracefully while long streams run through it.
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
	whole, problem := d.streams.finish()
	d.report.promise("a planned stop cuts no request", whole == streams && n.Process.Err() == nil,
		"%d of %d streams whole, node ended after %.1f s%s", whole, streams, time.Since(start).Seconds(), problem)
	if err := d.fleet.StartNode(n); err != nil {
		return err
	}
	return d.fleet.WaitReady(n)
}

// tableOutage takes the table service away: online work goes on, and calls
// that need a durable record are refused as not run.
func (d *demo) tableOutage() error {
	if err := d.fleet.Fault("http://"+d.fleet.Table, map[string]any{"down": true}); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return d.fleet.Fault("http://"+d.fleet.Table, map[string]any{"lose_answers": 0.1})
}

func (d *demo) finishJob(ctx context.Context, j *job) {
	const name = "every accepted item completes exactly once"
	ctx, cancel := context.WithTimeout(ctx, jobBound)
	defer cancel()
	b, err := j.await(ctx, "completed", "failed")
	if err != nil {
		d.report.promise(name, false, "%v", err)
		return
	}
	o, err := j.outcome(b.OutputFileID)
	if err != nil {
		d.report.promise(name, false, "%v", err)
		return
	}
	kept := o.lines == j.spec.Items && o.right+o.failed == j.spec.Items && o.failed == j.spec.Items/j.spec.PoisonEvery
	problem := ""
	if o.problem != "" {
		problem = "; first problem: " + o.problem
	}
	d.report.promise(name, kept, "%d items: %d right, %d that can never be done ended with an error, %d wrong, %d repeated, %d unexpected%s",
		j.spec.Items, o.right, o.failed, o.wrong, o.repeated, o.unexpected, problem)
}

// judgeLoad judges what the callers saw over the whole run.
func (d *demo) judgeLoad() error {
	o := d.online
	share, p95 := o.inTime()
	d.report.promise("online work does not wait behind batch work", share >= shareInTime,
		"%.1f%% of %d streams had their first token within 1.4 s, 95th percentile %d ms", share*100, len(o.firstToken), p95.Milliseconds())
	d.report.promise("each caller gets the whole answer to its own request", o.sent > 0 && o.whole == o.sent,
		"%d of %d answers whole and right, %d wrong, %d broken, %d refused, %d sent again%s", o.whole, o.sent, o.wrong, o.broken, o.refused, o.retried, problems(o.problems))
	executions, err := d.permits.executions()
	if err != nil {
		return err
	}
	p := d.permits
	doubled, lost, untrue := 0, 0, 0
	for _, n := range executions {
		if n > 1 {
			doubled++
		}
	}
	for permit := range p.issued {
		if executions[permit] == 0 {
			lost++
		}
	}
	for permit := range p.notRun {
		if executions[permit] > 0 {
			untrue++
		}
	}
	d.report.promise("a non-idempotent call runs at most once", p.sent > 0 && len(p.issued) > p.sent/2 && doubled == 0 && lost == 0,
		"%d permits sent %d times each: %d executed, %d twice; %d answered as issued, %d of them not executed; %d answers of unknown outcome",
		p.sent, resends, len(executions), doubled, len(p.issued), lost, p.unknown)
	d.report.promise(`a refusal that says "not run" is true`, p.refusals > 0 && untrue == 0,
		"%d answers said not run; %d permits were only ever refused so, %d of them executed", p.refusals, len(p.notRun), untrue)
	return nil
}

func problems(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("; first problems: %s", strings.Join(list, " | "))
}
