package loadshare

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// silentAfter is how long a node's counts hold. Counts are sent at least every
// maxSilence, so that two may be lost.
const silentAfter = 900 * time.Millisecond

// total is the work of all other nodes at a replica.
type total struct{ online, batch int }

// ledger holds what the other nodes last told. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	nodes map[core.NodeID]*told
}

type told struct {
	at     time.Time
	counts map[core.ReplicaID]count
}

func newLedger() *ledger { return &ledger{nodes: make(map[core.NodeID]*told)} }

// take replaces what a node told.
func (l *ledger) take(from core.NodeID, c *counts, now time.Time) {
	entry := &told{at: now, counts: make(map[core.ReplicaID]count, len(c.Replicas))}
	for _, one := range c.Replicas {
		entry.counts[one.ID] = one
	}
	l.mu.Lock()
	l.nodes[from] = entry
	l.mu.Unlock()
}

// totals sums over the nodes that are not silent and forgets the others.
func (l *ledger) totals(now time.Time) (map[core.ReplicaID]total, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make(map[core.ReplicaID]total)
	for id, entry := range l.nodes {
		if now.Sub(entry.at) > silentAfter {
			delete(l.nodes, id)
			continue
		}
		for replica, c := range entry.counts {
			t := sums[replica]
			sums[replica] = total{online: t.online + max(0, c.Online), batch: t.batch + max(0, c.Batch)}
		}
	}
	return sums, len(l.nodes)
}

// batchHolder returns the node with the most batch work at a replica and takes
// one item off its count, so that the next question goes elsewhere.
func (l *ledger) batchHolder(replica core.ReplicaID) (core.NodeID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best core.NodeID
	most := 0
	for id, entry := range l.nodes {
		if n := entry.counts[replica].Batch; n > most {
			best, most = id, n
		}
	}
	if most == 0 {
		return "", false
	}
	c := l.nodes[best].counts[replica]
	c.Batch--
	l.nodes[best].counts[replica] = c
	return best, true
}
