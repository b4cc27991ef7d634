package platformnode

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/quarantine"
)

const (
	// kindTableCopy is the kind of the call that asks a peer for its table copies.
	kindTableCopy = "entry.copy"
	// peerCopyDelay is how long a starting node waits for the store before it asks
	// peers for copies. The store normally answers within a few milliseconds.
	peerCopyDelay = 300 * time.Millisecond
	// copyCallTimeout bounds the call to one peer.
	copyCallTimeout = 300 * time.Millisecond
	// copyRetryInterval is the time between rounds of calls to all peers.
	copyRetryInterval = 500 * time.Millisecond
	// maxCopyBytes bounds the encoded copies. A frame holds at most 1 MiB.
	maxCopyBytes = 900 << 10
)

var errTablesNotLoaded = errors.New("configuration is not loaded yet")

// tableCopy holds a node's copies of the tables that it needs for routing.
type tableCopy struct {
	Tables map[string][]infra.VersionedRow `msgpack:"t"`
	// Nodes are the nodes that the peer knows, so that a node that starts while the
	// store is away uses the same hubs.
	Nodes []nodes.Record `msgpack:"n,omitempty"`
	// Quarantine are the quarantined parts that the peer knows.
	Quarantine []quarantine.Notice `msgpack:"q,omitempty"`
}

// serveTableCopy answers a peer that is starting while the store is unavailable.
func (n *Node) serveTableCopy(context.Context, core.NodeID, []byte) ([]byte, error) {
	if n.configs.Table.Load() == nil {
		return nil, errTablesNotLoaded
	}
	out := tableCopy{
		Tables: make(map[string][]infra.VersionedRow), Nodes: append(n.nodes.View().Records(), n.nodes.Self()),
		Quarantine: n.quarantine.Notices(),
	}
	for _, w := range n.routingWatchers {
		out.Tables[w.Table] = w.Copy()
	}
	body, err := msgpack.Marshal(&out)
	if err == nil && len(body) > maxCopyBytes {
		err = errors.Errorf("table copy of %d bytes is too large for one message", len(body))
	}
	return body, err
}

// bootstrapFromPeers loads the configuration and the replicas from a peer while the
// store is unavailable. Data that is read from the store later takes precedence.
func (n *Node) bootstrapFromPeers(ctx context.Context) {
	pause := peerCopyDelay
	for round := 0; n.configs.Table.Load() == nil; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = copyRetryInterval
		for i, address := range n.settings.Seeds {
			if n.configs.Table.Load() != nil || address == n.peerListener.Addr().String() {
				continue
			}
			n.fetchTableCopy(ctx, core.NodeID(peer.SeedPrefix+strconv.Itoa(i)), address, round)
		}
	}
}

// fetchTableCopy asks one peer for its table copies and preloads them. Failures are
// logged in the first round only.
func (n *Node) fetchTableCopy(ctx context.Context, id core.NodeID, address string, round int) {
	n.peers.SetAddress(id, address)
	defer n.peers.Forget(id)
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	var got tableCopy
	if err := n.peers.Call(ctx, id, kindTableCopy, struct{}{}, &got); err != nil {
		if round == 0 {
			n.log.Info("no table copy from peer", "address", address, "error", err)
		}
		return
	}
	n.quarantine.Adopt(got.Quarantine, "received at the start from "+address)
	if n.nodes.Preload(got.Nodes) {
		n.log.Info("nodes preloaded from peer", "nodes", len(got.Nodes), "address", address)
	}
	for _, w := range n.routingWatchers {
		if w.Preload(got.Tables[w.Table]) {
			n.log.Info("table preloaded from peer", "table", w.Table, "rows", len(got.Tables[w.Table]), "address", address)
		}
	}
}
