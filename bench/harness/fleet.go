package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Backend is the process of a stand-in backend server and its entry in the fleet
// list.
type Backend struct {
	VM      infra.VM
	Process *Process
}

// URL returns the base URL of the backend server.
func (b *Backend) URL() string { return "http://" + b.VM.Address }

// Fleet is a set of stand-in servers and nodes on loopback.
type Fleet struct {
	options Options
	client  *http.Client
	// Table, Objects, Weights and FleetList are the addresses of the platform's
	// stand-ins.
	Table, Objects, Weights, FleetList string
	Nodes                              []*Node
	Engines                            []*Backend
	PlainServers                       []*Backend
	platformProcesses                  []*Process
}

// Start starts a fleet and waits until the stand-ins pass their health checks. The
// nodes are started but may not be ready yet; see WaitReady.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, client: &http.Client{Timeout: 10 * time.Second}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.configureNodes(); err != nil {
		return err
	}
	if err := f.publishFleetList(); err != nil {
		return err
	}
	for _, n := range f.Nodes {
		if err := f.StartNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform() error {
	addresses, err := FreeAddresses(4)
	if err != nil {
		return err
	}
	f.Table, f.Objects, f.Weights, f.FleetList = addresses[0], addresses[1], addresses[2], addresses[3]
	for _, s := range []struct {
		name, address string
		args          []string
	}{
		{"table", f.Table, f.options.TableArgs}, {"objects", f.Objects, nil},
		{"weights", f.Weights, nil}, {"fleet", f.FleetList, f.options.FleetArgs},
	} {
		p, err := f.startStandin(s.name, s.name, s.address, s.args)
		if err != nil {
			return err
		}
		f.platformProcesses = append(f.platformProcesses, p)
	}
	return nil
}

// startStandin starts a stand-in and waits until it passes its health check.
func (f *Fleet) startStandin(name, kind, address string, args []string) (*Process, error) {
	args = append([]string{kind, "-listen", address}, args...)
	p, err := StartProcess(f.options.WorkDir, name, filepath.Join(f.options.BinDir, "standin"), args...)
	if err != nil {
		return nil, err
	}
	return p, f.waitFor(p, "http://"+address+"/healthz")
}

// StartStandin starts an additional stand-in on a free port and returns its
// process and base URL. Close stops it.
func (f *Fleet) StartStandin(name, kind string, args ...string) (*Process, string, error) {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return nil, "", err
	}
	p, err := f.startStandin(name, kind, addresses[0], args)
	if p != nil {
		f.platformProcesses = append(f.platformProcesses, p)
	}
	return p, "http://" + addresses[0], err
}

func (f *Fleet) startBackends() error {
	for _, dc := range f.options.DataCentres {
		for i := range f.options.EnginesPerDC {
			if err := f.addBackend(&f.Engines, dc, "engine", f.options.EngineDeployment, i, f.options.EngineArgs); err != nil {
				return err
			}
		}
		for i := range f.options.PlainServersPerDC {
			if err := f.addBackend(&f.PlainServers, dc, "plain", f.options.PlainDeployment, i, f.options.PlainArgs); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) addBackend(list *[]*Backend, dc, kind, deployment string, i int, args []string) error {
	addresses, err := FreeAddresses(1)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%s-%d", deployment, dc, i+1)
	p, err := f.startStandin(id, kind, addresses[0], args)
	if err != nil {
		return err
	}
	*list = append(*list, &Backend{Process: p, VM: infra.VM{
		ID: id, Kind: infra.KindBackend, DataCentre: dc, Region: f.options.Region,
		Address: addresses[0], Deployment: deployment,
	}})
	return nil
}

// configureNodes chooses the addresses of all nodes and writes their settings
// files.
func (f *Fleet) configureNodes() error {
	var seeds []string
	for _, dc := range f.options.DataCentres {
		for i := range f.options.NodesPerDC {
			addresses, err := FreeAddresses(3)
			if err != nil {
				return err
			}
			n := &Node{ID: fmt.Sprintf("%s-node-%d", dc, i+1), DataCentre: dc,
				Callers: addresses[0], Operators: addresses[1], Peers: addresses[2]}
			f.Nodes = append(f.Nodes, n)
			seeds = append(seeds, n.Peers)
		}
	}
	for _, n := range f.Nodes {
		if err := n.writeConfig(f, seeds); err != nil {
			return err
		}
	}
	return nil
}

// publishFleetList writes the VMs of all nodes and backend servers to the fleet
// list.
func (f *Fleet) publishFleetList() error {
	var vms []infra.VM
	for _, n := range f.Nodes {
		vms = append(vms, infra.VM{ID: n.ID, Kind: infra.KindNode, DataCentre: n.DataCentre,
			Region: f.options.Region, Address: n.Peers})
	}
	for _, b := range append(append([]*Backend(nil), f.Engines...), f.PlainServers...) {
		vms = append(vms, b.VM)
	}
	_, err := f.Do(context.Background(), http.MethodPut, "http://"+f.FleetList+"/fleet", vms)
	return err
}

// StartNode starts the process of a node. It may be called again after the process
// has ended.
func (f *Fleet) StartNode(n *Node) error {
	p, err := StartProcess(f.options.WorkDir, n.ID, filepath.Join(f.options.BinDir, "gentiantided"), "run", "-config", n.Config)
	n.Process = p
	return err
}

// WaitReady waits until the node's readiness check passes.
func (f *Fleet) WaitReady(n *Node) error { return f.waitFor(n.Process, n.URL()+"/readyz") }

// waitFor waits until url responds with status 200. It fails if the process ends or
// readyTimeout passes.
func (f *Fleet) waitFor(p *Process, url string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		select {
		case <-p.Done():
			return errors.Errorf("%s exited before it was ready: %v (see its log)", p.Name, p.Err())
		default:
		}
		if response, err := f.client.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.Errorf("%s did not respond to %s with status 200 within %s", p.Name, url, readyTimeout)
}

// SetFault sets the fault plan of a stand-in; base is its base URL.
func (f *Fleet) SetFault(base string, plan any) error {
	_, err := f.Do(context.Background(), http.MethodPost, base+"/fault", plan)
	return err
}

// Do sends a JSON request and returns the response body. A status of 300 or more
// is an error, returned together with the body.
func (f *Fleet) Do(ctx context.Context, method, url string, body any) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, url)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return data, errors.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, data)
	}
	return data, nil
}

// GetJSON reads url and decodes the JSON response.
func (f *Fleet) GetJSON(ctx context.Context, url string, into any) error {
	data, err := f.Do(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, into), "decode %s", url)
}

// Close kills all processes of the fleet.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		if n.Process != nil {
			n.Process.Kill()
		}
	}
	for _, b := range append(append([]*Backend(nil), f.Engines...), f.PlainServers...) {
		b.Process.Kill()
	}
	for _, p := range f.platformProcesses {
		p.Kill()
	}
}
