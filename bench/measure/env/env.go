package env

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/bench/measure/load"
)

const (
	// inForceBound is the users' bound for a change to be in force everywhere.
	inForceBound = 5 * time.Second
	// idleWait bounds the wait for the engines to become idle.
	idleWait = 15 * time.Second
	idlePoll = 25 * time.Millisecond
)

// Options say how an Env is started.
type Options struct {
	BinDir, WorkDir string
	Shape           Shape
	// Short halves the length of the conditions, for work in between.
	Short bool
}

// Env is a running shape.
type Env struct {
	Shape  Shape
	Fleet  *harness.Fleet
	Client *client.Client

	short    bool
	records  *os.File
	naive    *harness.Process
	naiveURL string
	files    map[jobInput]string // ids of uploaded files
	jobs     int
}

// Start starts a shape and waits until its nodes are ready and know the
// deployments.
func Start(o Options) (*Env, error) {
	s := o.Shape
	fleet, err := harness.Start(harness.Options{
		BinDir: o.BinDir, WorkDir: o.WorkDir, Region: s.Region, DataCentres: s.DataCentres,
		NodesPerDC: nodesPerDC, Engines: s.EnginesPerDC, Plain: plainPerDC,
		EngineDeployment: s.EngineDeployment, PlainDeployment: s.PlainDeployment,
		EngineArgs: []string{"-slots", strconv.Itoa(slots), "-step-base", stepBase.String(),
			"-step-per-sequence", stepPerSequence.String()},
		StopGrace: "1s",
	})
	if err != nil {
		return nil, err
	}
	e := &Env{Shape: s, Fleet: fleet, Client: client.New(), short: o.Short, files: make(map[jobInput]string)}
	if e.records, err = os.Create(filepath.Join(o.WorkDir, "samples.tsv")); err == nil {
		err = e.prepare()
	}
	if err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Close ends all processes.
func (e *Env) Close() {
	e.Fleet.Close()
	_ = e.records.Close()
}

// Record keeps the samples of a round beside the logs.
func (e *Env) Record(condition string, round int, samples []load.Sample) error {
	prefix := fmt.Sprintf("%s\t%s\t%d", time.Now().Format("15:04:05.000"), condition, round)
	return errors.Wrap(load.Write(e.records, prefix, samples), "record samples")
}

func (e *Env) prepare() error {
	var urls []string
	for _, b := range e.Fleet.Engines {
		urls = append(urls, b.URL())
	}
	var err error
	if e.naive, e.naiveURL, err = e.Fleet.StartStandin("naive", "naive", "-backends", strings.Join(urls, ",")); err != nil {
		return err
	}
	first := e.Fleet.Nodes[0]
	if err := e.Fleet.WaitReady(first); err != nil {
		return err
	}
	if err := e.Fleet.ChangeSettings(first, "/services/"+e.Shape.EngineDeployment, map[string]any{"kind": "model", "model": e.Shape.Model}); err != nil {
		return err
	}
	if err := e.Fleet.ChangeSettings(first, "/services/"+e.Shape.PlainDeployment, map[string]any{"kind": "plain", "route": e.Shape.PlainRoute}); err != nil {
		return err
	}
	for _, n := range e.Fleet.Nodes {
		if err := e.Fleet.AwaitSetting(n, "/services/"+e.Shape.PlainDeployment, "route", strconv.Quote(e.Shape.PlainRoute), inForceBound); err != nil {
			return err
		}
	}
	return e.awaitLive()
}

// fleetView is the part of GET /admin/v1/fleet that is read.
type fleetView struct {
	Backends []struct {
		Deployment string `json:"deployment"`
		State      string `json:"state"`
		Slots      int    `json:"slots"`
	} `json:"backends"`
}

// awaitLive waits until every node is ready and sees every engine live.
func (e *Env) awaitLive() error {
	for _, n := range e.Fleet.Nodes {
		if err := e.Fleet.WaitReady(n); err != nil {
			return err
		}
		for start := time.Now(); ; time.Sleep(idlePoll) {
			if e.live(n) == len(e.Fleet.Engines) {
				break
			}
			if time.Since(start) > idleWait {
				return errors.Errorf("node %s sees %d of %d engines live", n.ID, e.live(n), len(e.Fleet.Engines))
			}
		}
	}
	return nil
}

func (e *Env) live(n *harness.Node) int {
	var view fleetView
	if err := e.Fleet.GetJSON(context.Background(), n.OperatorsURL()+"/admin/v1/fleet", &view); err != nil {
		return -1
	}
	live := 0
	for _, b := range view.Backends {
		if b.Deployment == e.Shape.EngineDeployment && b.State == "live" && b.Slots > 0 {
			live++
		}
	}
	return live
}

// Reset sets the engines back and waits until they are idle, after a
// measurement that ended early.
func (e *Env) Reset(ctx context.Context) error {
	if err := e.stopNaive(ctx); err != nil {
		return err
	}
	if err := e.Slow(0); err != nil {
		return err
	}
	return e.AwaitIdle(ctx)
}

// Span shortens a length of time in short mode.
func (e *Env) Span(d time.Duration) time.Duration {
	if e.short {
		return d / 2
	}
	return d
}

// Short reports whether the run is a short one.
func (e *Env) Short() bool { return e.short }

// Bases returns the base URLs that the calls of a system are sent to in turn.
func (e *Env) Bases(s System) []string {
	var out []string
	switch s {
	case Naive:
		return []string{e.naiveURL}
	case Direct:
		for _, b := range e.Fleet.Engines {
			out = append(out, b.URL())
		}
	default:
		for _, n := range e.Fleet.Nodes {
			out = append(out, n.URL())
		}
	}
	return out
}

// NaivePID returns the process id of the naive proxy.
func (e *Env) NaivePID() int { return e.naive.PID() }

// Node calls the operators' listener of a node and decodes the answer.
func (e *Env) Node(ctx context.Context, n *harness.Node, path string, into any) error {
	return e.Fleet.GetJSON(ctx, n.OperatorsURL()+path, into)
}

// Table reads a document of the table service's stand-in.
func (e *Env) Table(ctx context.Context, path string, into any) error {
	return e.Fleet.GetJSON(ctx, "http://"+e.Fleet.Table+path, into)
}

func (e *Env) do(ctx context.Context, method, url string, body any) error {
	_, err := e.Fleet.Do(ctx, method, url, body)
	return err
}

// stopNaive ends the naive proxy's job.
func (e *Env) stopNaive(ctx context.Context) error {
	return e.do(ctx, http.MethodDelete, e.naiveURL+"/batch", nil)
}
