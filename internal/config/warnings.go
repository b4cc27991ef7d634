package config

import (
	"net/netip"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// minStopGrace is the shortest stop grace without a warning. Load balancers usually
// check the health at longer intervals, so with a shorter stop grace they may not
// notice the stop in time.
const minStopGrace = time.Second

// warnSuspicious adds warnings about settings that are accepted but likely wrong.
func (d *decoder) warnSuspicious(root *strictjson.Node, node *Node) {
	d.warnSeeds(root, node)
	d.warnPeerListener(root, node)
	d.warnTimeouts(root, node.Timeouts)
}

// warnSeeds warns about seeds that are addresses of the node itself or listed
// twice.
func (d *decoder) warnSeeds(root *strictjson.Node, node *Node) {
	own := map[string]string{
		node.Listen.Callers: "listen.callers", node.Listen.Operators: "listen.operators", node.Listen.Peers: "listen.peers",
	}
	seen := make(map[string]bool)
	for i, seed := range node.Seeds {
		value := root.Get("seeds").Elements[i]
		if name, ok := own[seed]; ok {
			d.warn(value, "seeds", "address "+seed+" is the node's own "+name, "the peer address of another node")
		}
		if seen[seed] {
			d.warn(value, "seeds", "address "+seed+" is already in the list", "each address once")
		}
		seen[seed] = true
	}
}

// warnPeerListener warns about a peer address that other nodes cannot connect to,
// and about a peer listener without authentication.
func (d *decoder) warnPeerListener(root *strictjson.Node, node *Node) {
	value := root.Get("listen").Get("peers")
	own := netip.MustParseAddrPort(node.Listen.Peers).Addr().Unmap()
	switch {
	case own.IsUnspecified():
		d.warn(value, "listen.peers", "address "+node.Listen.Peers+" is announced to other nodes, which cannot connect to it", "an IP address of the VM")
	case own.IsLoopback():
		for _, seed := range node.Seeds {
			if !netip.MustParseAddrPort(seed).Addr().Unmap().IsLoopback() {
				d.warn(value, "listen.peers", "address "+node.Listen.Peers+" is a loopback address, but the seed "+seed+" is on another VM", "an IP address of the VM")
				break
			}
		}
	}
	if !own.IsLoopback() && len(node.PeerSecrets) == 0 {
		d.warn(value, "listen.peers", "the listener accepts messages from every process that can connect to it", "peer_secret_file")
	}
}

// warnTimeouts warns about timeouts that are too short or contradict each other.
func (d *decoder) warnTimeouts(root *strictjson.Node, t Timeouts) {
	timeouts := root.Get("timeouts")
	if timeouts == nil {
		return
	}
	if t.StopGrace < minStopGrace {
		d.warn(timeouts.Get("stop_grace"), "timeouts.stop_grace",
			"value "+t.StopGrace.String()+" is shorter than the health check interval of most load balancers", "1s or more")
	}
	if value := timeouts.Get("connect"); value != nil && t.Connect > min(t.Table, t.Objects, t.Weights, t.Fleet) {
		d.warn(value, "timeouts.connect", "value "+t.Connect.String()+" is longer than the timeout of a call", "less than every other timeout")
	}
}
