package entry

import (
	"context"
	"errors"
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

	"gentiantide.example/gentiantide/internal/discovery"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/jobs"
	"gentiantide.example/gentiantide/internal/metrics"
	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/watch"
	"gentiantide.example/gentiantide/platform"
)

const (
	// headerTimeout and headerBytes bound a request's head. The operator's
	// limits are 3 s and 16 KiB.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout closes connections that callers leave unused. Callers use
	// them again within four fifths of the operator's limit of 15 s.
	idleTimeout = 60 * time.Second
	// reviewEvery is the time between looks at the replicas: for silent ones and
	// for connections that have been unused for too long.
	reviewEvery = 100 * time.Millisecond
	// jobsInterval is the least time between readings of changed job rows. The
	// end of a job must reach its owner within 3 s.
	jobsInterval = 500 * time.Millisecond
)

// Node is one process of the system.
type Node struct {
	// OutOfRotation is the time in which the balancer takes the node out. It is
	// set before Run.
	OutOfRotation time.Duration

	settings *platform.Settings
	log      *slog.Logger

	callers      net.Listener
	ready        net.Listener
	peerListener net.Listener

	store         *platform.Store
	configs       *platform.Configs
	registry      *replica.Registry
	replicas      *discovery.Replicas
	nodes         *nodes.Directory
	jobs          *jobs.Service
	jobsAPI       *platform.JobsAPI
	peers         *peer.Transport
	placer        *placement.Service
	forward       *forward.Handler
	counters      *forward.Counters
	metrics       http.Handler
	metricsCloser io.Closer
	// routing follows what a node needs to serve: the configuration and the
	// replicas.
	routing  []*watch.Watcher
	jobRows  *watch.Watcher
	stopping atomic.Bool
}

// New opens the node's listeners and returns a node that does nothing until Run.
func New(settings *platform.Settings, log *slog.Logger) (*Node, error) {
	n := &Node{OutOfRotation: OutOfRotation, settings: settings, log: log}
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

// wire makes the parts of the node.
func (n *Node) wire() {
	settings, log := n.settings, n.log
	n.store = platform.NewStore(settings.Store)
	n.configs = platform.NewConfigs(log)
	n.registry = replica.NewRegistry()
	n.replicas = discovery.NewReplicas(n.registry, platform.DecodeReplica, log)
	lifetime := strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	n.nodes = nodes.NewDirectory(n.store, nodes.Record{
		ID: settings.Node, Lifetime: lifetime, Address: n.peerListener.Addr().String(), DataCentre: settings.DataCentre,
		Processor: settings.Processor,
	}, log)
	n.peers = peer.New(settings.Node, log)
	n.peers.Handle(kindCopy, n.giveCopy)
	n.placer = placement.New(placement.Options{
		Transport: n.peers, Registry: n.registry, Nodes: n.nodes, Log: log,
		Yield: func(r *replica.Replica) bool { return n.jobs.Yield(r) },
	})
	n.jobs = jobs.New(jobs.Options{
		Table: n.store, Objects: n.store, Nodes: n.nodes, Clock: n.store.Clock, Keep: settings.Keep, Log: log,
		Placer:   n.placer,
		Executor: &jobs.Executor{Codec: platform.Headers{}, Routes: &n.configs.Table, Log: log},
	})
	n.jobsAPI = &platform.JobsAPI{Jobs: n.jobs}
	scope, handler, closer := metrics.New()
	n.metrics, n.metricsCloser = handler, closer
	n.counters = forward.NewCounters(scope)
	n.forward = &forward.Handler{
		Codec: platform.Headers{}, Placer: n.placer, Routes: &n.configs.Table,
		Submit: n.jobsAPI.Submit, Log: log, Counters: n.counters,
	}
	n.routing = []*watch.Watcher{n.configs.Watcher(n.store), n.replicas.Watcher(n.store, platform.ReplicaTable)}
	n.jobRows = watch.New(n.store, jobs.JobsTable, jobs.Partitions(), n.jobs.JobCache, log)
	n.jobRows.Interval = jobsInterval
}

// CallersAddress is where the node serves callers.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// PeersAddress is where the node serves other nodes.
func (n *Node) PeersAddress() string { return n.peerListener.Addr().String() }

// ReadinessAddress is where the node serves the balancer, the state dump and
// the metrics.
func (n *Node) ReadinessAddress() string { return n.ready.Addr().String() }

// Run serves until a stop signal and then stops gracefully.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.log.Info("start", "node", n.settings.Node, "lifetime", n.nodes.Self().Lifetime, "data_centre", n.settings.DataCentre, "store", n.settings.Store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := n.serve(n.callers, http.HandlerFunc(n.serveCaller))
	ready := n.serve(n.ready, n.readinessMux())
	n.peers.Start(n.peerListener)
	defer n.peers.Close()
	for _, w := range append(n.routing, n.jobRows) {
		go w.Run(ctx)
	}
	go n.askNeighbours(ctx)
	go n.nodes.Run(ctx)
	go n.jobs.Run(ctx)
	go n.placer.Run(ctx)
	go n.reviewReplicas(ctx)
	n.await(signals)
	n.stop(callers)
	cancel()
	return errors.Join(n.metricsCloser.Close(), ready.Close())
}

// await returns at the stop signal.
func (n *Node) await(signals <-chan os.Signal) {
	for s := range signals {
		if s != syscall.SIGHUP {
			n.log.Info("stop", "signal", s.String())
			return
		}
		n.reload()
	}
}

// reload reads the settings file again. What it holds is fixed for the life of
// a process, so that a change is only reported.
func (n *Node) reload() {
	fresh, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		n.log.Error("settings file cannot be read, keeping the present settings", "error", err)
		return
	}
	n.log.Info("settings file read", "same_store", fresh.Store == n.settings.Store, "same_callers", fresh.Callers == n.settings.Callers)
}

// Signals returns the channel that Run takes its signals from.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// serve starts an HTTP server on a listener.
func (n *Node) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("listener ended", "address", listener.Addr().String(), "error", err)
		}
	}()
	return server
}

// serveCaller serves one request of a caller.
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

// readinessMux serves the balancer's question, the state of the process and the
// operators' command line.
func (n *Node) readinessMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, n.readiness)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { n.writeJSON(w, n.dumpView()) })
	mux.Handle("GET /metrics", n.metrics)
	n.registerOperators(mux)
	return mux
}

// readiness answers 200 while the node can serve.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.configs.Table.Load() == nil || len(n.registry.All()) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) reviewReplicas(ctx context.Context) {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.registry.ExpireIdle(now)
			for _, r := range n.registry.Review(now) {
				n.log.Info("replica is silent", "replica", r.Info().ID, "data_centre", r.Info().DataCentre)
				n.placer.Suspect(r)
			}
		}
	}
}
