package config

import (
	"net/netip"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// shortGrace is less than the interval at which balancers usually check.
const shortGrace = time.Second

// suspicious warns of settings that are accepted but likely wrong.
func (d *decoder) suspicious(root *strictjson.Node, node *Node) {
	d.suspiciousSeeds(root, node)
	d.suspiciousPeers(root, node)
	d.suspiciousTimeouts(root, node.Timeouts)
}

func (d *decoder) suspiciousSeeds(root *strictjson.Node, node *Node) {
	own := map[string]string{
		node.Listen.Callers: "listen.callers", node.Listen.Operators: "listen.operators", node.Listen.Peers: "listen.peers",
	}
	seen := make(map[string]bool)
	for i, seed := range node.Seeds {
		at := root.Get("seeds").Elements[i]
		if name, ok := own[seed]; ok {
			d.warn(at, "seeds", "address "+seed+" is the node's own "+name, "the peer address of another node")
		}
		if seen[seed] {
			d.warn(at, "seeds", "address "+seed+" is already in the list", "each address once")
		}
		seen[seed] = true
	}
}

// suspiciousPeers checks the address that the node tells other nodes.
func (d *decoder) suspiciousPeers(root *strictjson.Node, node *Node) {
	at := root.Get("listen").Get("peers")
	own := netip.MustParseAddrPort(node.Listen.Peers).Addr().Unmap()
	switch {
	case own.IsUnspecified():
		d.warn(at, "listen.peers", "address "+node.Listen.Peers+" is told to other nodes, which cannot connect to it", "an IP address of the VM")
	case own.IsLoopback():
		for _, seed := range node.Seeds {
			if !netip.MustParseAddrPort(seed).Addr().Unmap().IsLoopback() {
				d.warn(at, "listen.peers", "address "+node.Listen.Peers+" is a loopback address, but the seed "+seed+" is on another VM", "an IP address of the VM")
				break
			}
		}
	}
	if !own.IsLoopback() && len(node.PeerSecrets) == 0 {
		d.warn(at, "listen.peers", "the listener accepts messages from every process that reaches it", "peer_secret_file")
	}
}

func (d *decoder) suspiciousTimeouts(root *strictjson.Node, t Timeouts) {
	timeouts := root.Get("timeouts")
	if timeouts == nil {
		return
	}
	if t.StopGrace < shortGrace {
		d.warn(timeouts.Get("stop_grace"), "timeouts.stop_grace",
			"value "+t.StopGrace.String()+" is shorter than the check interval of most balancers", "1s or more")
	}
	if at := timeouts.Get("connect"); at != nil && t.Connect > min(t.Table, t.Objects, t.Weights, t.Fleet) {
		d.warn(at, "timeouts.connect", "value "+t.Connect.String()+" is longer than the timeout of a call", "less than every other timeout")
	}
}
