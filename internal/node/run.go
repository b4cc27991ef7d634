package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// operatorsWriteTimeout bounds an operators' request and its answer; the
	// longest is a settings change, for which the command line waits 30 s.
	operatorsWriteTimeout = 1 * time.Minute
	// pathFiles begins the paths of uploads and of results, which may be long.
	pathFiles = "/v1/files"
	// resendWait is how long the resend of a non-idempotent call waits for the
	// answer of the attempt that is running; most calls end sooner.
	resendWait = 3 * time.Second
	// leaveTimeout bounds telling the other nodes of a stop.
	leaveTimeout = 1 * time.Second
	// batchStopTimeout bounds the items in progress at a planned stop. Items
	// that are interrupted run again elsewhere.
	batchStopTimeout = 5 * time.Second
	// operatorsStopTimeout bounds the operators' requests at a stop.
	operatorsStopTimeout = 1 * time.Second
)

// The largest numbers of connections that are open at once.
const (
	// maxCallers is three times the requests in progress of a node that gets 22
	// requests/s of 30 s each, and costs at most some 32 MiB.
	maxCallers = 2048
	// maxOperators is for a few commands, scripts and readers of metrics.
	maxOperators = 128
	// maxPeers is twice the nodes of the design scale, each of which has one
	// connection to this node and may open a new one before the old one ends.
	maxPeers = 1024
)

// Run runs the node until stop is closed, then stops gracefully: the health
// check fails, peers are told, streams in progress end regularly, and ranges
// are released. It returns when all is done.
func (n *Node) Run(stop <-chan struct{}) error {
	callersL, operatorsL, peersL, err := n.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.transport.Start(peersL)
	n.goRun(func() { n.members.Run(ctx) })
	n.goRun(func() { n.settings.Run(ctx) })
	n.goRun(func() { n.fleet.Run(ctx) })
	n.goRun(func() { n.directory.Run(ctx) })
	n.goRun(func() { n.owner.Run(ctx) })
	n.goRun(func() { n.dispatcher.Run(ctx) })
	n.goRun(func() { n.orders.Run(ctx) })
	n.goRun(func() { n.retention.Run(ctx) })
	n.batch.Start()
	failed := make(chan error, 2)
	serve := func(server *http.Server, l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(n.callersServer, callersL)
	go serve(n.operatorsServer, operatorsL)
	n.log.Info("node started", "node", n.cfg.ID, "data_centre", n.cfg.DataCentre,
		"callers", callersL.Addr().String(), "operators", operatorsL.Addr().String(), "peers", peersL.Addr().String())
	select {
	case <-stop:
	case err = <-failed:
		n.log.Error("listener failed", "error", err)
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

func (n *Node) goRun(f func()) { n.background.Go(f) }

// shutdown ends the work of the node. The listener stays open for the grace
// time, so that the balancer notices the failing health check before any
// connection is refused; requests that arrive meanwhile are served.
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
			n.log.Warn("batch items interrupted by the stop", "error", err)
		}
	}()
	time.Sleep(n.cfg.Timeouts.StopGrace)
	// No time limit: a planned stop cuts no request.
	if err := n.callersServer.Shutdown(context.Background()); err != nil {
		n.log.Warn("callers' listener did not close", "error", err)
	}
	<-batchDone
	ctx, cancel = context.WithTimeout(context.Background(), operatorsStopTimeout)
	defer cancel()
	if n.operatorsServer.Shutdown(ctx) != nil {
		_ = n.operatorsServer.Close()
	}
}
