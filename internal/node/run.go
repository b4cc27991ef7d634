package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// operatorsWriteTimeout bounds an operators' request and its response. The
	// longest is a settings change, for which the command line waits 30 s.
	operatorsWriteTimeout = 1 * time.Minute
	// filesPath is the path prefix of uploads and of results, whose transfer may
	// take long.
	filesPath = "/v1/files"
	// runningAttemptWait is how long a resent non-idempotent call waits for the
	// response of the attempt that is still running. Most calls end sooner.
	runningAttemptWait = 3 * time.Second
	// maxStartup is the longest time for which a starting node keeps the callers'
	// port closed. After that it answers callers with the reason why it is not ready.
	maxStartup = 10 * time.Second
	// readyPollInterval is how often a starting node checks whether it is ready.
	readyPollInterval = 10 * time.Millisecond
	// leaveTimeout bounds the announcement of the shutdown to the other nodes.
	leaveTimeout = 1 * time.Second
	// batchStopTimeout is how long a shutdown waits for the batch items in
	// progress. Interrupted items run again on other nodes.
	batchStopTimeout = 5 * time.Second
	// operatorsStopTimeout is how long a shutdown waits for the operators' requests
	// in progress.
	operatorsStopTimeout = 1 * time.Second
)

// Limits on the open connections of each listener.
const (
	// maxCallerConns is three times the concurrent requests of a node that gets 22
	// requests/s of 30 s each. That many connections use at most about 32 MiB.
	maxCallerConns = 2048
	// defaultMemoryBytes is the memory of a VM whose settings file does not name it.
	defaultMemoryBytes int64 = 256 << 20
	// maxOperatorConns is enough for a few commands, scripts and metrics collectors.
	maxOperatorConns = 128
	// maxPeerConns is twice the maximum number of nodes in the design. Each node has
	// one connection to this node and may open a new one before the old one closes.
	maxPeerConns = 1024
)

// Run runs the node until stop is closed or a server fails, then shuts down
// gracefully: the health check fails, the other nodes are told, requests and
// streams in progress complete, and batch ranges are released. It returns when the
// shutdown is complete.
func (n *Node) Run(stop <-chan struct{}) error {
	operatorsL, peersL, err := n.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.transport.Start(peersL)
	n.runInBackground(func() { n.memoryReport.Run(ctx) })
	n.runInBackground(func() { n.members.Run(ctx) })
	n.runInBackground(func() { n.settings.Run(ctx) })
	n.runInBackground(func() { n.fleet.Run(ctx) })
	n.runInBackground(func() { n.directory.Run(ctx) })
	n.runInBackground(func() { n.owner.Run(ctx) })
	n.runInBackground(func() { n.dispatcher.Run(ctx) })
	n.runInBackground(func() { n.orders.Run(ctx) })
	n.runInBackground(func() { n.retention.Run(ctx) })
	n.batch.Start()
	serveErrors := make(chan error, 2)
	serve := func(server *http.Server, l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- err
		}
	}
	go serve(n.operatorsServer, operatorsL)
	n.log.Info("node started", "node", n.cfg.ID, "data_centre", n.cfg.DataCentre,
		"operators", operatorsL.Addr().String(), "peers", peersL.Addr().String())
	if n.awaitReady(stop) {
		var callersL net.Listener
		if callersL, err = n.openCallers(); err == nil {
			go serve(n.callersServer, callersL)
			n.log.Info("node accepts callers", "callers", callersL.Addr().String(), "after_ms", time.Since(n.started).Milliseconds(), "not_ready", n.notReadyReason())
		}
	}
	if err == nil {
		select {
		case <-stop:
		case err = <-serveErrors:
		}
	}
	if err != nil {
		n.log.Error("HTTP server failed; shutting down", "error", err)
	}
	n.shutdown()
	cancel()
	n.background.Wait()
	n.transport.Close()
	n.intents.Close()
	_ = n.metricsCloser.Close()
	n.log.Info("node stopped", "node", n.cfg.ID)
	return err
}

// awaitReady waits until the node is ready, at most maxStartup. Until then the
// callers' port stays closed, so that callers and load balancers use other nodes: a
// node without settings would answer "no such model", which callers do not retry.
// It returns false if stop is closed first.
func (n *Node) awaitReady(stop <-chan struct{}) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for n.ready() != nil && time.Since(n.started) < maxStartup {
		select {
		case <-stop:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// notReadyReason returns why the node is not ready, or "".
func (n *Node) notReadyReason() string {
	if refusal := n.ready(); refusal != nil {
		return refusal.Message
	}
	return ""
}

func (n *Node) runInBackground(f func()) { n.background.Go(f) }

// shutdown stops taking new work and waits for the work in progress. The callers'
// listener stays open for StopGrace, so that the load balancer notices the failing
// health check before any connection is refused. Requests that arrive meanwhile
// are served.
func (n *Node) shutdown() {
	n.stopping.Store(true)
	n.log.Info("node stopping", "node", n.cfg.ID, "grace", n.cfg.Timeouts.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	n.members.Leave(ctx)
	cancel()
	batchDone := make(chan struct{})
	go func() {
		defer close(batchDone)
		ctx, cancel := context.WithTimeout(context.Background(), batchStopTimeout)
		defer cancel()
		if err := n.batch.Stop(ctx); err != nil {
			n.log.Warn("shutdown interrupted running batch items", "error", err)
		}
	}()
	time.Sleep(n.cfg.Timeouts.StopGrace)
	if n.callersListener != nil {
		n.callersListener.Drain()
	}
	// No time limit: a planned shutdown interrupts no request.
	if err := n.callersServer.Shutdown(context.Background()); err != nil {
		n.log.Warn("closing the callers' listener failed", "error", err)
	}
	<-batchDone
	ctx, cancel = context.WithTimeout(context.Background(), operatorsStopTimeout)
	defer cancel()
	if n.operatorsServer.Shutdown(ctx) != nil {
		_ = n.operatorsServer.Close()
	}
}
