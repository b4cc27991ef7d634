package platformnode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/discovery"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/jobs"
	"gentiantide.example/gentiantide/internal/memaccount"
	"gentiantide.example/gentiantide/internal/memreport"
	"gentiantide.example/gentiantide/internal/metrics"
	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/quota"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
	"gentiantide.example/gentiantide/internal/streamversion"
	"gentiantide.example/gentiantide/internal/watch"
	"gentiantide.example/gentiantide/platform"
)

const (
	// healthCheckInterval is the time between checks for stalled replicas and for
	// replica connections that have been idle for too long.
	healthCheckInterval = 100 * time.Millisecond
	// jobRowsInterval is the least time between reads of changed job rows. A
	// cancelled job's owner must learn of the cancellation within 3 s.
	jobRowsInterval = 500 * time.Millisecond
)

// Node is one node process.
type Node struct {
	// OutOfRotationDelay is the time that the load balancer needs to remove the
	// node from rotation. It must not be changed after Run is called.
	OutOfRotationDelay time.Duration
	// SettingsFile is the path of the file that SIGHUP reloads. It must not be changed
	// after Run is called.
	SettingsFile string

	settings *platform.Settings
	log      *slog.Logger

	callers      net.Listener
	ready        net.Listener
	peerListener net.Listener

	store      *platform.Store
	configs    *platform.ConfigHandler
	registry   *replica.Registry
	replicas   *discovery.RegistryUpdater
	nodes      *nodes.Directory
	jobs       *jobs.Service
	jobsAPI    *platform.JobsAPI
	peers      *peer.Transport
	placer     *placement.Service
	quarantine *quarantine.Service
	versions   *streamversion.Service
	quota      *quota.Service
	forward    *forward.Handler
	keys       *forward.KeyGate
	counters   *forward.Counters
	// memory accounts for what is held for callers.
	memory *memaccount.Account
	// stopGrace is the setting in force, a time.Duration.
	stopGrace    atomic.Int64
	memoryReport *memreport.Report
	configGauges *configGauges
	// limitedReplicas is the number of replicas that name a limit.
	limitedReplicas tally.Gauge
	scope           tally.Scope
	metrics         http.Handler
	metricsCloser   io.Closer
	// routingWatchers follow the tables that a node needs to serve requests: the
	// configuration, the replicas and the versions of the services.
	routingWatchers []*watch.Watcher
	configWatcher   *watch.Watcher
	confirmation    confirmation
	jobWatcher      *watch.Watcher
	stopping        atomic.Bool
}

// New opens the node's listeners and creates its components. The node serves
// nothing until Run is called.
func New(settings *platform.Settings, log *slog.Logger) (*Node, error) {
	n := &Node{OutOfRotationDelay: OutOfRotationDelay, SettingsFile: os.Getenv(platform.SettingsVariable), settings: settings, log: log}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&n.callers, settings.Callers}, {&n.ready, settings.Readiness}, {&n.peerListener, settings.Peers},
	} {
		var err error
		if *l.listener, err = netopt.ListenConfig().Listen(context.Background(), "tcp", l.address); err != nil {
			return nil, fmt.Errorf("listen on %s: %w", l.address, err)
		}
	}
	n.wire()
	return n, nil
}

// wire creates and connects the components of the node.
func (n *Node) wire() {
	settings, log := n.settings, n.log
	n.store = platform.NewStore(settings.Store)
	n.stopGrace.Store(int64(settings.StopGrace))
	n.configs = platform.NewConfigHandler(log)
	n.registry = replica.NewRegistry()
	n.replicas = discovery.NewRegistryUpdater(n.registry, platform.DecodeReplica, log)
	lifetime := strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	n.nodes = nodes.NewDirectory(n.store, nodes.Record{
		ID: settings.Node, Lifetime: lifetime, Address: n.peerListener.Addr().String(), DataCentre: settings.DataCentre,
		CPUCores: settings.CPUCores,
	}, log)
	n.peers = peer.New(settings.Node, log)
	n.peers.ContainPanics()
	n.peers.Handle(kindTableCopy, n.serveTableCopy)
	n.peers.Handle(kindConfig, n.serveConfig)
	scope, handler, closer := metrics.New()
	n.scope, n.metrics, n.metricsCloser = scope, handler, closer
	n.quarantine = quarantine.New(quarantine.Options{
		Messenger: n.peers, View: n.nodes.View, Persist: n.nodes.RenewSoon, Log: log, Scope: scope,
		Hubs:     func(service core.DeploymentID) []core.NodeID { return n.placer.Hubs(service) },
		Registry: n.registry, ReportSilent: func(r *replica.Replica) { n.placer.ReportStall(r) }, DataCentre: settings.DataCentre,
	})
	n.nodes.SetSettings(settings.Version, false)
	n.nodes.Share("shared", n.quarantine)
	n.nodes.Share("crashes", n.quarantine.Crashes())
	n.nodes.Share("silences", n.quarantine.Suspicions())
	n.placer = placement.New(placement.Options{
		Transport: n.peers, Registry: n.registry, Nodes: n.nodes, Log: log,
		Preempt: func(r *replica.Replica) bool { return n.jobs.Preempt(r) },
		Victims: func() map[core.ReplicaID]placement.Victim { return n.jobs.Victims() },
		Memory:  n.replicaMemory, Scope: scope,
	})
	n.jobs = jobs.New(jobs.Options{
		Table: n.store, Objects: n.store, Nodes: n.nodes, Clock: n.store.Clock, JobRetention: settings.JobRetention, Log: log,
		Placer: n.placer, Registry: n.registry, Messenger: n.peers,
		Executor: &jobs.Executor{Codec: platform.HeaderCodec{}, Routes: &n.configs.Table, Quarantine: n.quarantine, Log: log},
	})
	n.counters = forward.NewCounters(scope)
	n.memory = memaccount.New(memaccount.ForMemory(settings.MemoryBytes))
	n.memoryReport = memreport.New(n.memory, scope, log)
	n.configGauges = newConfigGauges(scope)
	n.limitedReplicas = scope.Gauge("replicas_limited")
	n.configWatcher = n.configs.Watcher(n.store)
	n.keys = &forward.KeyGate{Age: n.configAge, TrustFor: settings.KeyTrust, Log: log, Scope: scope}
	n.jobsAPI = &platform.JobsAPI{Jobs: n.jobs, Routes: &n.configs.Table, Keys: n.keys, Memory: n.memory, Log: log}
	registrations := n.replicas.Watcher(n.store, platform.ReplicaTable)
	self := n.nodes.Self()
	n.versions = streamversion.New(streamversion.Options{
		Store: n.store, Clock: n.store.Clock, Registry: n.registry, Registrations: registrations, View: n.nodes.View,
		Self: self.Owner(), LongestLife: n.longestStream, Log: log, Scope: scope,
	})
	n.quota = quota.New(quota.Options{
		Messenger: n.peers, Self: self, View: n.nodes.View, AddNode: n.nodes.Add, Organisations: n.organisations, Log: log, Scope: scope,
	})
	n.forward = &forward.Handler{
		Codec: platform.HeaderCodec{}, Placer: n.placer, Routes: &n.configs.Table, RoutesAge: n.configAge, Keys: n.keys,
		Registered: func(id core.ReplicaID) bool { return n.registry.Get(id) != nil },
		Memory:     n.memory, Submit: n.jobsAPI.Submit, Quota: n.quota, Quarantine: n.quarantine, Versions: n.versions, Stop: forward.NewStop(), Log: log, Counters: n.counters,
	}
	n.routingWatchers = []*watch.Watcher{n.configWatcher, registrations, n.versions.Watcher()}
	n.jobWatcher = watch.New(n.store, jobs.JobsTable, jobs.Partitions(), n.jobs.JobCache, log)
	n.jobWatcher.Interval = jobRowsInterval
	n.jobs.CatchUpWith(n.jobWatcher.CatchUp)
}

// CallersAddress returns the address on which the node serves callers.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// PeersAddress returns the address on which the node serves other nodes.
func (n *Node) PeersAddress() string { return n.peerListener.Addr().String() }

// ReadinessAddress returns the address on which the node serves readiness checks,
// the state dump, the metrics and the operators' command line.
func (n *Node) ReadinessAddress() string { return n.ready.Addr().String() }

// Run serves until a stop signal arrives and then stops gracefully.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.log.Info("start", "node", n.settings.Node, "lifetime", n.nodes.Self().Lifetime, "data_centre", n.settings.DataCentre, "store", n.settings.Store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := n.newCallers()
	go callers.Run()
	ready := n.serveReadiness()
	n.peers.Start(n.peerListener)
	defer n.peers.Close()
	for _, w := range append(n.routingWatchers, n.jobWatcher) {
		go w.Run(ctx)
	}
	go n.bootstrapFromPeers(ctx)
	go n.followPeersConfig(ctx)
	go n.nodes.Run(ctx)
	go n.jobs.Run(ctx)
	go n.placer.Run(ctx)
	go n.versions.Run(ctx)
	go n.quota.Run(ctx)
	go n.monitor(ctx)
	n.waitForStop(ctx, signals)
	n.stop(callers)
	cancel()
	ready.Close()
	return n.metricsCloser.Close()
}

// Signals returns a channel with the signals that Run handles.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// longestStream returns the longest time that a route gives a stream that callers may
// take up.
func (n *Node) longestStream() time.Duration {
	if table := n.configs.Table.Load(); table != nil {
		return table.LongestResumable()
	}
	return 0
}

// replicaMemory returns how many tokens a replica of a service holds, or 0 if the
// configuration does not say.
func (n *Node) replicaMemory(service core.DeploymentID) int {
	if table := n.configs.Table.Load(); table != nil {
		return table.Memory[service]
	}
	return 0
}

// organisations returns those of the configuration in force, or nil.
func (n *Node) organisations() *routetable.Organisations {
	if table := n.configs.Table.Load(); table != nil {
		return table.Organisations
	}
	return nil
}

// serveCaller serves one request of a caller. While the node stops, each response
// closes its connection.
func (n *Node) serveCaller(w http.ResponseWriter, in *http.Request) {
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if n.jobsAPI.Owns(forward.Path(in)) {
		n.jobsAPI.ServeHTTP(w, in)
		return
	}
	n.forward.ServeHTTP(w, in)
}

// readinessMux returns the handler of readiness checks, the state dump, the metrics
// and the operators' command line.
func (n *Node) readinessMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, n.readiness)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { n.writeJSON(w, n.stateDump()) })
	mux.Handle("GET /metrics", n.metrics)
	n.registerOperators(mux)
	return mux
}

// readiness answers 200 while the node can serve: it is not stopping and knows the
// configuration, at least one replica and the other nodes. A node that cannot get a
// lease serves without them.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	knowsNodes := n.placer.KnowsNodes() || n.nodes.Failing()
	if n.stopping.Load() || !n.decidesOnKeys() || len(n.registry.All()) == 0 || !knowsNodes {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// decidesOnKeys reports whether the node knows a configuration, and one that it may still
// trust if callers need keys.
func (n *Node) decidesOnKeys() bool {
	table := n.configs.Table.Load()
	return table != nil && (table.Organisations == nil || n.keys.Trusted(time.Now()))
}

// monitor periodically updates the gauges, closes idle connections to replicas,
// checks the health of the replicas and reports those that have become unreachable
// to the other nodes.
func (n *Node) monitor(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.memoryReport.Update(now)
			n.configGauges.update(n.configs.Table.Load(), n.configWatcher, now)
			n.limitedReplicas.Update(float64(n.registry.CountLimited()))
			n.registry.ExpireIdle(now)
			for _, r := range n.registry.CheckHealth(now) {
				n.log.Info("replica is unreachable", "replica", r.Info().ID, "data_centre", r.Info().DataCentre)
				n.placer.ReportStall(r)
			}
		}
	}
}
