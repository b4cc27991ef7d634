package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// silentAfter is how long a node's counts hold. Counts are sent at least every
// maxSilence, so that two messages may be lost.
const silentAfter = 900 * time.Millisecond

// total is the work of all nodes at a replica.
type total struct{ online, batch int }

// ledger holds what the nodes last told and the sums of it. It is not safe for
// concurrent use.
type ledger struct {
	nodes map[core.NodeID]*told
	sums  map[core.ReplicaID]total
}

// told is what a node last told.
type told struct {
	at     time.Time
	run    uint64
	serial uint64
	counts map[core.ReplicaID]count
}

// stale reports whether a message was sent before the last one.
func (t *told) stale(c *counts) bool { return t.run == c.Run && c.Serial <= t.serial && c.Serial > 0 }

func newLedger() *ledger {
	return &ledger{nodes: make(map[core.NodeID]*told), sums: make(map[core.ReplicaID]total)}
}

// take replaces what a node told and returns the sums that changed.
func (l *ledger) take(from core.NodeID, c *counts, now time.Time) map[core.ReplicaID]total {
	entry := &told{at: now, run: c.Run, serial: c.Serial, counts: make(map[core.ReplicaID]count, len(c.Replicas))}
	for _, one := range c.Replicas {
		one.Online, one.Batch = max(0, one.Online), max(0, one.Batch)
		entry.counts[one.ID] = one
	}
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

// subtract takes a node's counts off the sums.
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
	return l.sums[replica]
}

// batchHolder returns the node with the most batch work at a replica and takes
// one item off its count, so that the next question goes elsewhere.
func (l *ledger) batchHolder(replica core.ReplicaID) (core.NodeID, bool) {
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
