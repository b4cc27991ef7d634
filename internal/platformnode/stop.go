package platformnode

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/callerconn"
)

const (
	// OutOfRotationDelay is how long new connections may still arrive after the
	// readiness check starts to fail. The load balancer checks once per second and
	// removes a node after two failed checks.
	OutOfRotationDelay = 2300 * time.Millisecond
	// exitMargin is the part of the stop grace period reserved for the exit.
	exitMargin = 700 * time.Millisecond
	// lastLongRequest is how long after the stop signal streams and batch jobs are
	// accepted. The platform's rules let a stream be cut at the end of the grace period
	// only if it was sent within 3 s.
	lastLongRequest = 3 * time.Second
	// lastAnswers is the time before the end of the stop in which requests that are
	// still in progress are answered.
	lastAnswers = 200 * time.Millisecond
	// leaveTimeout bounds the write that ends the node's lease.
	leaveTimeout = time.Second
	// crashReportTimeout bounds the last reports of crashes. Hubs that do not answer take
	// 200 ms each.
	crashReportTimeout = 500 * time.Millisecond
)

// stop drains the node. It reports that the node is not ready, goes on serving
// until the load balancer has removed the node, and then waits for the requests
// in progress. At the end it answers those that have no response yet. Batch work is
// handed over at the same time.
func (n *Node) stop(callers *callerconn.Server) {
	n.stopping.Store(true)
	n.nodes.MarkStopping()
	began := time.Now()
	deadline := began.Add(max(n.OutOfRotationDelay, time.Duration(n.stopGrace.Load())-exitMargin))
	n.forward.Stop.Begin(began.Add(lastLongRequest), deadline.Add(-lastAnswers))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	jobsCtx, cancelJobs := context.WithDeadline(ctx, deadline.Add(-leaveTimeout))
	defer cancelJobs()
	passedOn := make(chan struct{})
	go func() {
		defer close(passedOn)
		n.jobs.PassOn(jobsCtx)
	}()
	select {
	case <-ctx.Done():
	case <-time.After(n.OutOfRotationDelay):
	}
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("closing connections with requests in progress at the end of the stop grace period", "in_flight", n.counters.InFlight(), "error", err)
		callers.Close()
	}
	<-passedOn
	n.jobs.Stop(jobsCtx)
	n.stopQuarantine()
	n.placer.Stop(context.Background()) // other nodes used this hub until now
	n.quota.Stop(context.Background())
	n.leaveFleet()
	n.log.Info("stopped", "in_flight", n.counters.InFlight())
}

// leaveFleet ends the node's lease, so that other nodes take over the jobs that were not
// handed over.
func (n *Node) leaveFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.nodes.Leave(ctx); err != nil {
		n.log.Warn("node lease could not be ended and will lapse", "error", err)
	}
}

// stopQuarantine reports the crashes of the last runs, which other nodes remember.
func (n *Node) stopQuarantine() {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	n.quarantine.Stop(ctx)
}
