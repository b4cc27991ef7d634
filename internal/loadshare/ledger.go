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

// ledger holds what the other nodes last told and the sums of it. It is safe
// for concurrent use.
type ledger struct {
	mu    sync.Mutex
	nodes map[core.NodeID]*told
	sums  map[core.ReplicaID]total
}

type told struct {
	at     time.Time
	counts map[core.ReplicaID]count
}

func newLedger() *ledger {
	return &ledger{nodes: make(map[core.NodeID]*told), sums: make(map[core.ReplicaID]total)}
}

// take replaces what a node told and returns the sums that changed.
func (l *ledger) take(from core.NodeID, c *counts, now time.Time) map[core.ReplicaID]total {
	entry := &told{at: now, counts: make(map[core.ReplicaID]count, len(c.Replicas))}
	for _, one := range c.Replicas {
		one.Online, one.Batch = max(0, one.Online), max(0, one.Batch)
		entry.counts[one.ID] = one
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[core.ReplicaID]total)
	l.subtract(from, changed)
	l.nodes[from] = entry
	for id, one := range entry.counts {
		sum := l.sums[id]
		l.sums[id] = total{online: sum.online + one.Online, batch: sum.batch + one.Batch}
		changed[id] = l.sums[id]
	}
	return changed
}

// subtract takes a node's counts off the sums. The caller holds the lock.
func (l *ledger) subtract(node core.NodeID, changed map[core.ReplicaID]total) {
	entry, ok := l.nodes[node]
	if !ok {
		return
	}
	for id, one := range entry.counts {
		sum := l.sums[id]
		sum = total{online: sum.online - one.Online, batch: sum.batch - one.Batch}
		changed[id] = sum
		if sum == (total{}) {
			delete(l.sums, id)
		} else {
			l.sums[id] = sum
		}
	}
	delete(l.nodes, node)
}

// expire forgets the nodes that are silent and returns the sums that changed
// and the number of nodes that are heard.
func (l *ledger) expire(now time.Time) (map[core.ReplicaID]total, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[core.ReplicaID]total)
	for node, entry := range l.nodes {
		if now.Sub(entry.at) > silentAfter {
			l.subtract(node, changed)
		}
	}
	return changed, len(l.nodes)
}

// sum returns the work of the other nodes at a replica.
func (l *ledger) sum(replica core.ReplicaID) total {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sums[replica]
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
	sum := l.sums[replica]
	sum.batch--
	l.sums[replica] = sum
	return best, true
}
