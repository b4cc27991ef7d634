package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/peer"
)

const (
	kindCopy = "entry.copy"
	// storeHeadStart is how long a starting node tries only the store, which
	// answers in some ms.
	storeHeadStart = 300 * time.Millisecond
	// copyTimeout bounds the question to one neighbour.
	copyTimeout = 300 * time.Millisecond
	// askPause is the time between rounds of questions.
	askPause = 500 * time.Millisecond
	// maxCopy bounds a copy: a frame holds 1 MiB.
	maxCopy = 900 << 10
)

var errNothingKnown = errors.New("nothing is known here yet")

// tableCopy is what a node knows of the tables that routing needs.
type tableCopy struct {
	Tables map[string][]infra.VersionedRow `msgpack:"t"`
}

// giveCopy answers a neighbour that starts while the store is away.
func (n *Node) giveCopy(context.Context, core.NodeID, []byte) ([]byte, error) {
	if n.configs.Table.Load() == nil {
		return nil, errNothingKnown
	}
	out := tableCopy{Tables: make(map[string][]infra.VersionedRow)}
	for _, w := range n.routing {
		out.Tables[w.Table] = w.Copy()
	}
	body, err := msgpack.Marshal(&out)
	if err == nil && len(body) > maxCopy {
		err = errors.Errorf("copy of %d bytes is too large", len(body))
	}
	return body, err
}

// askNeighbours takes the configuration and the replicas from a neighbour while
// the store does not tell them. What the store tells later goes before them.
func (n *Node) askNeighbours(ctx context.Context) {
	pause := storeHeadStart
	for round := 0; n.configs.Table.Load() == nil; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = askPause
		for i, address := range n.settings.Seeds {
			if n.configs.Table.Load() != nil || address == n.peerListener.Addr().String() {
				continue
			}
			n.askNeighbour(ctx, core.NodeID(peer.SeedPrefix+strconv.Itoa(i)), address, round)
		}
	}
}

func (n *Node) askNeighbour(ctx context.Context, id core.NodeID, address string, round int) {
	n.peers.SetAddress(id, address)
	defer n.peers.Forget(id)
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var got tableCopy
	if err := n.peers.Call(ctx, id, kindCopy, struct{}{}, &got); err != nil {
		if round == 0 {
			n.log.Info("neighbour has no copy", "address", address, "error", err)
		}
		return
	}
	for _, w := range n.routing {
		if w.Offer(got.Tables[w.Table]) {
			n.log.Info("table taken from a neighbour", "table", w.Table, "rows", len(got.Tables[w.Table]), "address", address)
		}
	}
}
