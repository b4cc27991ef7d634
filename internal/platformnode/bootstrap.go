package platformnode

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/wire"
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
	// maxCopyPages bounds the pages that are read from one peer: 32 MB.
	maxCopyPages = 128
)

var (
	errTablesNotLoaded = errors.New("configuration is not loaded yet")
	errCopyPages       = errors.Errorf("table copy has more than %d pages", maxCopyPages)
)

// serveTableCopy answers a peer that is starting while the store is unavailable.
func (n *Node) serveTableCopy(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request copyRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if n.configs.Table.Load() == nil {
		return nil, errTablesNotLoaded
	}
	var rows []infra.VersionedRow
	for _, w := range n.routingWatchers {
		for _, row := range w.Copy() {
			row.Table = w.Table
			rows = append(rows, row)
		}
	}
	out := copyPage(rows, request.After)
	if request.After == "" {
		out.Nodes, out.Quarantine = append(n.nodes.View().Records(), n.nodes.Self()), n.quarantine.Notices()
		crashes, err := n.quarantine.CrashCopy()
		if err != nil {
			return nil, err
		}
		out.Crashes = crashes
	}
	encoded, err := msgpack.Marshal(out)
	if err == nil && len(encoded) > maxCopyBytes {
		err = errors.Errorf("table copy of %d bytes is too large for one message", len(encoded))
	}
	return encoded, err
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
	got, err := n.fetchCopyPages(ctx, id)
	if err != nil {
		if round == 0 {
			n.log.Info("no table copy from peer", "address", address, "error", err)
		}
		return
	}
	n.quarantine.Adopt(got.Quarantine, "received at the start from "+address)
	if len(got.Crashes) > 0 {
		if err := n.quarantine.AdoptCrashes(got.Crashes); err != nil {
			n.log.Warn("crashes known to a peer cannot be decoded", "address", address, "error", err)
		}
	}
	if n.nodes.Preload(got.Nodes) {
		n.log.Info("nodes preloaded from peer", "nodes", len(got.Nodes), "address", address)
	}
	for _, w := range n.routingWatchers {
		if w.Preload(got.Tables[w.Table]) {
			n.log.Info("table preloaded from peer", "table", w.Table, "rows", len(got.Tables[w.Table]), "address", address)
		}
	}
}

// fetchCopyPages reads the table copies of one peer. A copy of which a page is missing
// is not used: another peer may have it all.
func (n *Node) fetchCopyPages(ctx context.Context, id core.NodeID) (*tableCopy, error) {
	all := &tableCopy{Tables: make(map[string][]infra.VersionedRow)}
	var request copyRequest
	for range maxCopyPages {
		page, err := n.fetchCopyPage(ctx, id, &request)
		if err != nil {
			return nil, err
		}
		for table, rows := range page.Tables {
			all.Tables[table] = append(all.Tables[table], rows...)
		}
		all.Nodes, all.Quarantine = append(all.Nodes, page.Nodes...), append(all.Quarantine, page.Quarantine...)
		if len(page.Crashes) > 0 {
			all.Crashes = page.Crashes
		}
		if page.Next <= request.After {
			return all, nil
		}
		request.After = page.Next
	}
	return nil, errCopyPages
}

func (n *Node) fetchCopyPage(ctx context.Context, id core.NodeID, request *copyRequest) (*tableCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyCallTimeout)
	defer cancel()
	page := &tableCopy{}
	return page, n.peers.Call(ctx, id, kindTableCopy, request, page)
}
