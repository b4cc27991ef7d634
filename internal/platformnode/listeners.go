package platformnode

import (
	"math"
	"net"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/callerconn"
	"gentiantide.example/gentiantide/internal/netopt"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// callerSockets is the part of the sockets above which callers' connections that wait
	// end. Connections to replicas, nodes and the store need the rest, and so do those
	// that are ending.
	callerSockets = 0.6
	// connMemoryShare is the part of the memory for the connections of callers.
	connMemoryShare = 1. / 5
	// connBytes is what a connection takes: the stack of its goroutine, the buffers of the
	// HTTP server and a head.
	connBytes = 32 << 10
	// operatorSockets is the part of the sockets for readiness checks and operators, of
	// which there are at most maxOperatorConns.
	operatorSockets  = 1. / 16
	maxOperatorConns = 128
)

// maxCallerConns returns the number of callers' connections for a number of sockets and
// the memory in bytes; 0 means unknown.
func maxCallerConns(sockets int, memory int64) int {
	limit := math.Inf(1)
	if sockets > 0 {
		limit = float64(sockets) * callerSockets
	}
	if memory > 0 {
		limit = min(limit, float64(memory)*connMemoryShare/connBytes)
	}
	if math.IsInf(limit, 1) {
		return 0
	}
	return max(1, int(limit))
}

// maxOperatorConnsOf is the same for readiness checks and operators.
func maxOperatorConnsOf(sockets int) int {
	if sockets <= 0 {
		return maxOperatorConns
	}
	return max(1, min(maxOperatorConns, int(float64(sockets)*operatorSockets)))
}

// newCallers returns the server of the listener for callers.
func (n *Node) newCallers() *callerconn.Server {
	s := callerconn.New(netopt.NewDrainable(n.callers.(*net.TCPListener)), http.HandlerFunc(n.serveCaller), n.callerLimits, n.scope, n.log)
	s.MaxConns = maxCallerConns(n.settings.Sockets, n.settings.MemoryBytes)
	s.EndIncomplete = func() bool { return n.memory.EndSlowest(time.Now()) }
	return s
}

// serveReadiness starts the server of the readiness checks and of operators. The limits
// of the operator's configuration are for callers only.
func (n *Node) serveReadiness() *callerconn.Server {
	scope := n.scope.SubScope("operators") // a metric has the same labels everywhere
	defaults := func() routetable.Limits { return routetable.Limits{} }
	s := callerconn.New(netopt.NewDrainable(n.ready.(*net.TCPListener)), n.readinessMux(), defaults, scope, n.log.With("listener", "operators"))
	s.MaxConns = maxOperatorConnsOf(n.settings.Sockets)
	go s.Run()
	return s
}

// callerLimits returns the limits in the operator's configuration.
func (n *Node) callerLimits() routetable.Limits {
	if table := n.configs.Table.Load(); table != nil {
		return table.Limits
	}
	return routetable.Limits{}
}
