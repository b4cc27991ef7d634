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
	// settingsTimeout is the time in which a settings change must be in force on all
	// nodes, as the users require.
	settingsTimeout = 5 * time.Second
	// idleTimeout bounds the wait until the engines are idle, and the wait until a
	// node sees all engines live.
	idleTimeout  = 15 * time.Second
	pollInterval = 25 * time.Millisecond
)

// Options are the options of Start.
type Options struct {
	BinDir, WorkDir string
	Shape           Shape
	// Short halves the duration of the conditions, for quick runs during
	// development.
	Short bool
}

// Env is a running environment.
type Env struct {
	Shape  Shape
	Fleet  *harness.Fleet
	Client *client.Client

	short    bool
	records  *os.File
	naive    *harness.Process
	naiveURL string
	files    map[jobInput]string // ids of the uploaded input files
	jobs     int
}

// Start starts the processes of a shape and waits until the nodes are ready, know the
// deployments and see all engines live.
func Start(o Options) (*Env, error) {
	s := o.Shape
	fleet, err := harness.Start(harness.Options{
		BinDir: o.BinDir, WorkDir: o.WorkDir, Region: s.Region, DataCentres: s.DataCentres,
		NodesPerDC: nodesPerDC, EnginesPerDC: s.EnginesPerDC, PlainServersPerDC: plainServersPerDC,
		EngineDeployment: s.EngineDeployment, PlainDeployment: s.PlainDeployment,
		EngineArgs: []string{"-slots", strconv.Itoa(slotsPerEngine), "-step-base", stepBase.String(),
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

// Record appends the samples of a round to samples.tsv in the directory of the logs.
func (e *Env) Record(condition string, round int, samples []load.Sample) error {
	prefix := fmt.Sprintf("%s\t%s\t%d", time.Now().Format("15:04:05.000"), condition, round)
	return errors.Wrap(load.WriteTSV(e.records, prefix, samples), "record samples")
}

// prepare starts the naive proxy, creates both deployments and waits until all nodes
// have them.
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
		if err := e.Fleet.AwaitSetting(n, "/services/"+e.Shape.PlainDeployment, "route", strconv.Quote(e.Shape.PlainRoute), settingsTimeout); err != nil {
			return err
		}
	}
	return e.awaitEnginesLive()
}

// fleetStatus holds the fields of GET /admin/v1/fleet that are used.
type fleetStatus struct {
	Backends []struct {
		Deployment string `json:"deployment"`
		State      string `json:"state"`
		Slots      int    `json:"slots"`
	} `json:"backends"`
}

// awaitEnginesLive waits until every node is ready and sees every engine live.
func (e *Env) awaitEnginesLive() error {
	for _, n := range e.Fleet.Nodes {
		if err := e.Fleet.WaitReady(n); err != nil {
			return err
		}
		for start := time.Now(); ; time.Sleep(pollInterval) {
			if e.liveEngines(n) == len(e.Fleet.Engines) {
				break
			}
			if time.Since(start) > idleTimeout {
				return errors.Errorf("node %s sees %d of %d engines live", n.ID, e.liveEngines(n), len(e.Fleet.Engines))
			}
		}
	}
	return nil
}

// liveEngines returns the number of engines that a node sees live and with slots, or
// -1 if the node does not respond.
func (e *Env) liveEngines(n *harness.Node) int {
	var view fleetStatus
	if err := e.Fleet.GetJSON(context.Background(), n.OperatorsURL()+"/admin/v1/fleet", &view); err != nil {
		return -1
	}
	liveEngines := 0
	for _, b := range view.Backends {
		if b.Deployment == e.Shape.EngineDeployment && b.State == "live" && b.Slots > 0 {
			liveEngines++
		}
	}
	return liveEngines
}

// Reset stops the naive proxy's job, removes the slowdown of the engines and waits
// until they are idle, after a measurement that ended early.
func (e *Env) Reset(ctx context.Context) error {
	if err := e.stopNaiveJob(ctx); err != nil {
		return err
	}
	if err := e.SetSlowdown(0); err != nil {
		return err
	}
	return e.AwaitIdle(ctx)
}

// ScaleDuration halves a duration in a short run.
func (e *Env) ScaleDuration(d time.Duration) time.Duration {
	if e.short {
		return d / 2
	}
	return d
}

// Short reports whether this is a short run.
func (e *Env) Short() bool { return e.short }

// Bases returns the base URLs of a system.
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

// GetFromNode gets a document from the operators' listener of a node and decodes it.
func (e *Env) GetFromNode(ctx context.Context, n *harness.Node, path string, into any) error {
	return e.Fleet.GetJSON(ctx, n.OperatorsURL()+path, into)
}

// GetFromTable gets a document from the stand-in of the table service and decodes it.
func (e *Env) GetFromTable(ctx context.Context, path string, into any) error {
	return e.Fleet.GetJSON(ctx, "http://"+e.Fleet.Table+path, into)
}

func (e *Env) do(ctx context.Context, method, url string, body any) error {
	_, err := e.Fleet.Do(ctx, method, url, body)
	return err
}

// stopNaiveJob stops the job of the naive proxy.
func (e *Env) stopNaiveJob(ctx context.Context) error {
	return e.do(ctx, http.MethodDelete, e.naiveURL+"/batch", nil)
}
