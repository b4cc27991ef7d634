package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentiantide.example/gentiantide/bench/harness"
	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// eventsPerStream is the number of events of an engine's stream, eventGap the
	// delay before each event: a stream takes about 0.2 s.
	eventsPerStream = 20
	eventGap        = 10 * time.Millisecond
	// stopGraceSeconds is the time between SIGTERM and SIGKILL.
	stopGraceSeconds = 8
)

// nodeProcess is the process of a node, which reaches the store through its own
// proxy.
type nodeProcess struct {
	name string
	// frontAddress is the address of the listener for callers.
	frontAddress, readyAddress, controlAddress string
	settingsFile                               string
	// store is the proxy to the metadata store.
	store     *proxy
	process   *harness.Process
	startedAt time.Time
	// paused is set while the process is paused or stopping, and starts counts its starts.
	paused atomic.Bool
	starts atomic.Int32
}

// backend is a replica behind its proxy.
type backend struct {
	*platformtest.Replica
	proxy   *proxy
	service string
	// dataCentre is the one in which the replica runs.
	dataCentre string
	draining   bool
	// gone is set when the replica has crashed.
	gone bool
	// silentUntil is when the replica may fall silent again.
	silentUntil time.Time
}

// testbed holds the servers and processes of a run.
type testbed struct {
	options     Options
	store       *platformtest.Store
	storeServer *http.Server
	nodes       []*nodeProcess
	backends    []*backend
	// keys are those of the organisations in the configuration, or nil.
	keys *keyring
	// storeAway is set while calls to the store fail.
	storeAway atomic.Bool
	// writesHeld is set while the store takes no writes.
	writesHeld atomic.Bool

	configMu      sync.Mutex
	configVersion int
	// extraRoutes numbers the extra route of each configuration.
	extraRoutes int
	// dataCentres are those of the replicas and nodes, in turn.
	dataCentres []string
}

func newTestbed(o Options, dataCentres ...string) (*testbed, error) {
	tb := &testbed{options: o, store: platformtest.NewStore(), dataCentres: dataCentres}
	if o.Organisations {
		tb.keys = newKeyring()
	}
	tb.store.Rows.Seed(o.Seed)
	tb.store.Objects.Seed(o.Seed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tb.storeServer = &http.Server{Handler: tb.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = tb.storeServer.Serve(listener) }()
	if err := tb.addBackends(); err != nil {
		return tb, err
	}
	if err := tb.configure(); err != nil {
		return tb, err
	}
	return tb, tb.addNodes(listener.Addr().String())
}

func (tb *testbed) addBackends() error {
	for i := range tb.options.Engines + tb.options.PlainServices {
		id, service, events := fmt.Sprintf("engine-%d", i), "models", eventsPerStream
		if i >= tb.options.Engines {
			id, service, events = fmt.Sprintf("plain-%d", i), "desk", 0
		}
		if _, err := tb.addBackend(id, service, events); err != nil {
			return err
		}
	}
	return nil
}

// addBackend starts a replica behind a proxy and registers it.
func (tb *testbed) addBackend(id, service string, events int) (*backend, error) {
	r, err := platformtest.NewReplica(id, events)
	if err != nil {
		return nil, err
	}
	p, err := newProxy("127.0.0.1:0", r.Address())
	if err != nil {
		return nil, err
	}
	b := &backend{Replica: r, proxy: p, service: service, dataCentre: tb.dataCentres[len(tb.backends)%len(tb.dataCentres)]}
	serveNormally(b)
	tb.backends = append(tb.backends, b)
	return b, tb.register(b, "ready")
}

// readyEngines returns the engines that are registered as ready.
func (tb *testbed) readyEngines() []*backend {
	var out []*backend
	for _, b := range tb.backends {
		if b.service == "models" && !b.draining && !b.gone {
			out = append(out, b)
		}
	}
	return out
}

func (tb *testbed) register(b *backend, state string) error {
	b.draining = state != "ready"
	return tb.store.RegisterAt(b.Replica, b.proxy.address(), b.service, b.dataCentre, state)
}

// configure writes the next configuration: the default routes and one extra route
// with a new name.
func (tb *testbed) configure() error {
	tb.configMu.Lock()
	defer tb.configMu.Unlock()
	tb.configVersion += 2
	tb.extraRoutes++
	routes := platformtest.DefaultRoutes + "," + platformtest.SafeRoute(fmt.Sprintf("extra%d", tb.extraRoutes))
	return tb.store.ConfigureOrganisations(tb.configVersion, routes, tb.keys.list())
}

// version returns the version of the configuration.
func (tb *testbed) version() int {
	tb.configMu.Lock()
	defer tb.configMu.Unlock()
	return tb.configVersion
}

func (tb *testbed) addNodes(store string) error {
	addresses, err := harness.FreeAddresses(3 * tb.options.Nodes)
	if err != nil {
		return err
	}
	for i := range tb.options.Nodes {
		n := &nodeProcess{name: fmt.Sprintf("node-%d", i), frontAddress: addresses[3*i], readyAddress: addresses[3*i+1], controlAddress: addresses[3*i+2]}
		if n.store, err = newProxy("127.0.0.1:0", store); err != nil {
			return err
		}
		n.settingsFile = filepath.Join(tb.options.Dir, n.name+".yaml")
		settingsFile := platformtest.NodeFile{
			Name: n.name, Zone: tb.dataCentres[i%len(tb.dataCentres)], Front: n.frontAddress, Ready: n.readyAddress, Control: n.controlAddress,
			Seeds: []string{addresses[2], addresses[5]}, Store: n.store.address(), StopGraceSeconds: stopGraceSeconds, JobRetentionSeconds: 120,
		}
		if err := os.WriteFile(n.settingsFile, []byte(settingsFile.String()), 0o600); err != nil {
			return err
		}
		tb.nodes = append(tb.nodes, n)
		if err := tb.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (tb *testbed) startNode(n *nodeProcess) error {
	var err error
	n.process, err = harness.StartProcessWithEnv(tb.options.Dir, n.name, []string{platformtest.SettingsVariable + "=" + n.settingsFile}, tb.options.Binary, "platform")
	n.startedAt = time.Now()
	n.starts.Add(1)
	n.paused.Store(false)
	return err
}

// close stops all servers and processes of the run.
func (tb *testbed) close() {
	for _, n := range tb.nodes {
		if n.process != nil {
			n.process.Signal(syscall.SIGCONT)
			n.process.Kill()
		}
		if n.store != nil {
			n.store.close()
		}
	}
	for _, b := range tb.backends {
		b.proxy.close()
		b.Close()
	}
	_ = tb.storeServer.Close()
}
