package node

import (
	"cmp"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/service"
	"gentiantide.example/gentiantide/internal/config"
	"gentiantide.example/gentiantide/internal/connlimit"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/fleet"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/httpapi/callers"
	"gentiantide.example/gentiantide/internal/httpapi/httpserver"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/httpfleet"
	"gentiantide.example/gentiantide/internal/infra/httpobjects"
	"gentiantide.example/gentiantide/internal/infra/httptable"
	"gentiantide.example/gentiantide/internal/intent"
	"gentiantide.example/gentiantide/internal/memaccount"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/memreport"
	"gentiantide.example/gentiantide/internal/metrics"
	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/orders"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/retention"
	"gentiantide.example/gentiantide/internal/settings"
)

// Node is one gentiantided process.
type Node struct {
	cfg     *config.Node
	log     *slog.Logger
	started time.Time

	table   *httptable.Table
	objects *httpobjects.Objects

	transport       *peer.Transport
	settings        *settings.Manager
	members         *membership.Service
	fleet           *fleet.Watcher
	directory       *directory.Service
	owner           *owner.Service
	dispatcher      *dispatch.Dispatcher
	relay           *relay.Relay
	intents         *intent.Store
	batch           *service.Service
	orders          *orders.Service
	retention       *retention.Service
	backendAdapters *backendAdapters
	retryBudgets    *retryBudgets
	ids             *idGenerator

	scope          tally.Scope
	metricsHandler http.Handler
	metricsCloser  io.Closer

	callersServer *http.Server
	// memory accounts for the bodies of callers and operators.
	memory       *memaccount.Account
	memoryReport *memreport.Report
	// callersListener is nil until the node accepts callers.
	callersListener *netopt.Drainable
	operatorsServer *http.Server
	stopping        atomic.Bool
	background      sync.WaitGroup
}

// New creates a node and connects its components. It opens no connections and does
// not start the components; Run does.
func New(cfg *config.Node, log *slog.Logger) *Node {
	n := &Node{
		cfg: cfg, log: log, started: time.Now(),
		table:           httptable.New(cfg.Platform.Table, cfg.Timeouts.Table),
		objects:         httpobjects.New(cfg.Platform.Objects, cfg.Timeouts.Objects),
		backendAdapters: newBackendAdapters(),
		retryBudgets:    &retryBudgets{},
	}
	n.ids = newIDGenerator(cfg.ID, n.started.UnixNano())
	n.scope, n.metricsHandler, n.metricsCloser = metrics.New()
	n.transport = peer.New(cfg.ID, log.With("role", "peer"))
	n.transport.SetSecrets(cfg.PeerSecrets)
	n.wireClusterState()
	n.wireRequestPath()
	n.wireBatch()
	n.wireOrders()
	n.wireRetention()
	n.wireHTTP()
	return n
}

// wireClusterState creates the settings, membership, directory and fleet services.
// They read each other's current snapshots, partly through closures because the
// other service is created later.
func (n *Node) wireClusterState() {
	n.settings = settings.NewManager(settings.Options{
		Table: n.table, Messenger: n.transport, DataCentre: n.cfg.DataCentre,
		View:   func() *membership.View { return n.members.Current() },
		Logger: n.log.With("role", "settings"),
	})
	identity := membership.Identity{
		ID: n.cfg.ID, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region,
		Address: n.cfg.Listen.Peers, Incarnation: n.started.UnixNano(),
	}
	n.members = membership.NewService(identity, n.transport, n.cfg.Seeds, membership.Hooks{
		SettingsVersion:   func() uint64 { return n.settings.Current().Version() },
		OnSettingsVersion: n.settings.OnPeerVersion,
		OwnStatus:         func() []byte { return n.directory.OwnStatus() },
		DataCentreStatus:  func() []byte { return n.directory.DataCentreStatus() },
		OnStatus:          func(from core.NodeID, status []byte) { n.directory.OnStatus(from, status) },
		OnView:            n.onView,
	}, n.log.With("role", "membership"))
	n.directory = directory.NewService(n.cfg.DataCentre, n.cfg.Region, n.backendAdapters,
		n.settings.Current, n.members.Current,
		func(id core.ReplicaID) directory.Counts { return n.owner.Counts(id) }, n.log.With("role", "directory"))
	n.fleet = fleet.NewWatcher(httpfleet.New(n.cfg.Platform.Fleet, n.cfg.Timeouts.Fleet), n.transport,
		n.members.Current, n.onFleet, n.log.With("role", "fleet"))
}

// wireRequestPath creates the components that requests pass through: owner,
// dispatcher, relay and the store of intents.
func (n *Node) wireRequestPath() {
	n.owner = owner.NewService(owner.Options{
		Members: n.members.Current, Replicas: n.directory.Current, Settings: n.settings.Current,
		Messenger: n.transport, Now: time.Now,
	})
	n.dispatcher = dispatch.New(dispatch.Options{
		DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Members: n.members.Current,
		Replicas: n.directory.Current, Settings: n.settings.Current, Messenger: n.transport,
		Owner: n.owner, Now: time.Now, Seed: uint64(n.started.UnixNano()),
	})
	n.relay = relay.New(relay.Config{
		Acquirer: n.dispatcher, Engines: n.backendAdapters.engine, Services: n.backendAdapters.service,
		Settings: n.settings.Current, Budget: n.retryBudgets, Scope: n.scope,
	})
	n.intents = intent.New(intent.Config{
		Table: n.table, NewID: n.ids.new, AwaitTimeout: runningAttemptWait, Scope: n.scope, Logger: n.log.With("role", "intent"),
	})
}

func (n *Node) wireBatch() {
	runner := &itemRunner{relay: n.relay, settings: n.settings.Current}
	cfg := batch.DefaultConfig()
	n.batch = service.New(service.Params{
		Config: cfg, Table: n.table, Objects: n.objects, Messenger: n.transport,
		Members: n.members.Current, Incarnation: n.started.UnixNano(), Runner: runner,
		Log: n.log.With("role", "batch"), Scope: n.scope,
		Weight:   service.WeightFrom(n.settings.Current),
		MaxTries: func(item batch.Item) int { return n.maxTries(cfg, item) },
		CheckURL: runner.checkURL, Authenticate: n.authenticate, WriteRefusal: httpapi.WriteRefusal,
	})
}

func (n *Node) wireOrders() {
	n.orders = orders.NewService(orders.Options{
		Members: n.members.Current, Replicas: n.directory.Current, Settings: n.settings.Current,
		Engine: func(address string) orders.Engine { return n.backendAdapters.engine(address) },
		Report: func(id core.ReplicaID) orders.Report {
			load, received := n.directory.LoadReport(id)
			return orders.Report{Load: load, Received: received}
		},
		Table: n.table, Incarnation: n.started.UnixNano(), Scope: n.scope, Logger: n.log.With("role", "orders"),
	})
}

func (n *Node) wireRetention() {
	n.retention = retention.NewService(retention.Options{
		Table: n.table, Objects: n.objects, Members: n.members.Current,
		Settings: n.settings.Current, Ready: n.settings.Ready(),
		Scope: n.scope, Logger: n.log.With("role", "retention"),
	})
}

// maxTries returns the maximum number of tries of an item: the setting of the
// deployment that serves it, or the default of cfg if there is none.
func (n *Node) maxTries(cfg batch.Config, item batch.Item) int {
	if deployment := n.settings.Current().DeploymentByRoute(item.URL); deployment != nil {
		return deployment.BatchMaxTries
	}
	if _, model, refusal := callers.ParseItem(item.URL, item.Body); refusal == nil {
		if deployment := n.settings.Current().DeploymentByModel(model); deployment != nil {
			return deployment.BatchMaxTries
		}
	}
	return cfg.MaxTries
}

// wireHTTP creates the HTTP servers for callers and operators.
func (n *Node) wireHTTP() {
	n.memory = memaccount.New(memaccount.ForMemory(cmp.Or(n.cfg.MemoryBytes, defaultMemoryBytes)))
	n.memoryReport = memreport.New(n.memory, n.scope, n.log)
	callersMux := http.NewServeMux()
	n.batch.Register(callersMux)
	callers.Register(callersMux, callers.Config{
		Relay: n.relay, Intents: n.intents, Settings: n.settings.Current, Ready: n.ready,
		NewID: n.ids.new, Scope: n.scope, Logger: n.log.With("role", "callers"),
	})
	n.callersServer = httpserver.New(httpserver.Options{
		Handler: callersMux, NewID: n.ids.new, Logger: n.log.With("role", "callers"), Memory: n.memory,
		Streams: func(path string) bool { return path == filesPath || strings.HasPrefix(path, filesPath+"/") },
	})
	operatorsMux := http.NewServeMux()
	server := &operators.Server{
		Editor: n.settings, Dump: n.dump, Metrics: n.metricsHandler, Version: core.Version,
		Fleet: func() any { return n.fleetStatus() }, TokenDigests: n.cfg.Operators.TokenDigests,
	}
	server.Register(operatorsMux)
	n.operatorsServer = httpserver.New(httpserver.Options{
		Handler: operatorsMux, NewID: n.ids.new, Logger: n.log.With("role", "operators"), Memory: n.memory,
	})
	n.operatorsServer.WriteTimeout = operatorsWriteTimeout
}

// authenticate returns the org of a caller's request by the current settings.
func (n *Node) authenticate(r *http.Request) (core.Org, *core.Refusal) {
	return httpapi.Authenticate(r, n.settings.Current())
}

// ready returns nil if the load balancer should send requests to the node, or the
// reason why not.
func (n *Node) ready() *core.Refusal {
	if n.stopping.Load() {
		return core.Refuse(core.CodeStopping, "the node is stopping")
	}
	select {
	case <-n.settings.Ready():
	default:
		return core.Refuse(core.CodeNoBackend, "the settings are not loaded yet")
	}
	if n.fleet.Current() == nil {
		return core.Refuse(core.CodeNoBackend, "the fleet list is not known yet")
	}
	if !n.directory.Ready() {
		return core.Refuse(core.CodeNoBackend, "the state of the backend servers is not known yet")
	}
	return nil
}

// onView passes a change of the membership on to the directory and the dispatcher.
func (n *Node) onView(*membership.View) {
	n.directory.Refresh(time.Now())
	n.dispatcher.OnViewChange()
}

// onFleet passes a new fleet list on: the nodes of this node's region to the
// membership service and all VMs to the directory.
func (n *Node) onFleet(vms []infra.VM) {
	var nodes []membership.Member
	leaving := make(map[core.NodeID]bool)
	for _, vm := range vms {
		if vm.Kind != infra.KindNode || core.Region(vm.Region) != n.cfg.Region {
			continue
		}
		id := core.NodeID(vm.ID)
		nodes = append(nodes, membership.Member{ID: id, DataCentre: core.DataCentre(vm.DataCentre),
			Region: core.Region(vm.Region), Address: vm.Address})
		leaving[id] = vm.Leaving
	}
	n.members.SetFleet(nodes, leaving)
	n.directory.SetFleet(vms)
}

// listen opens the listeners for operators and peers. That for callers is opened
// when the node is ready.
func (n *Node) listen() (operatorsL, peersL net.Listener, err error) {
	operatorsLimit, err := n.open("operators", n.cfg.Listen.Operators, maxOperatorConns)
	if err != nil {
		return nil, nil, err
	}
	n.makesRoom(operatorsLimit, n.operatorsServer)
	peersLimit, err := n.open("peers", n.cfg.Listen.Peers, maxPeerConns)
	if err != nil {
		_ = operatorsLimit.Close()
		return nil, nil, err
	}
	return operatorsLimit, peersLimit, nil
}

// open opens a listener with a limit on its open connections.
func (n *Node) open(name, address string, limit int) (*connlimit.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open the listener for %s", name)
	}
	return connlimit.New(l, limit, n.log.With("role", name)), nil
}

// makesRoom lets connections of a server that wait for a request, and incomplete ones,
// end in favour of new ones. It is called before the server serves.
func (n *Node) makesRoom(l *connlimit.Listener, server *http.Server) {
	server.ConnState = l.Track
	l.EndIncomplete = func() bool { return n.memory.EndSlowest(time.Now()) }
}

// openCallers opens the listener for callers.
func (n *Node) openCallers() (net.Listener, error) {
	l, err := net.Listen("tcp", n.cfg.Listen.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "open the listener for callers")
	}
	n.callersListener = netopt.NewDrainable(l.(*net.TCPListener))
	limit := connlimit.New(n.callersListener, maxCallerConns, n.log.With("role", "callers"))
	n.makesRoom(limit, n.callersServer)
	return limit, nil
}
