package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// countsTTL is how long the counts of a node are valid. Nodes send them at
// least every maxCountsInterval, so that two messages in a row may be lost.
const countsTTL = 900 * time.Millisecond

// inFlight is the in-flight work of all nodes at a replica.
type inFlight struct{ online, batch int }

// ledger holds the last counts of each node and their sums per replica. It is
// not safe for concurrent use.
type ledger struct {
	nodes map[core.NodeID]*ledgerEntry
	// nodeChanges counts the nodes that were added and removed with online work that this
	// hub has not granted, or does not see the end of. Nodes without work send no counts.
	nodeChanges int
	sums        map[core.ReplicaID]inFlight
	// holders are the nodes that have batch items at a replica, each with the item
	// that it would preempt.
	holders map[core.ReplicaID]map[core.NodeID]Victim
}

// ledgerEntry is the last message with counts from one node.
type ledgerEntry struct {
	receivedAt time.Time
	runID      uint64
	sequence   uint64
	counts     map[core.ReplicaID]replicaCounts
}

// stale reports whether c was sent before the message in the entry.
func (e *ledgerEntry) stale(c *nodeCounts) bool {
	return e.runID == c.RunID && c.Sequence <= e.sequence && c.Sequence > 0
}

// online returns the online work of the node at all replicas.
func (e *ledgerEntry) online() int {
	n := 0
	for _, rc := range e.counts {
		n += rc.Online
	}
	return n
}

func newLedger() *ledger {
	return &ledger{
		nodes: make(map[core.NodeID]*ledgerEntry), sums: make(map[core.ReplicaID]inFlight),
		holders: make(map[core.ReplicaID]map[core.NodeID]Victim),
	}
}

// replaceCounts replaces the counts of a node and returns the sums that
// changed.
func (l *ledger) replaceCounts(from core.NodeID, c *nodeCounts, now time.Time) map[core.ReplicaID]inFlight {
	entry := &ledgerEntry{receivedAt: now, runID: c.RunID, sequence: c.Sequence, counts: make(map[core.ReplicaID]replicaCounts, len(c.Replicas))}
	for _, rc := range c.Replicas {
		rc.Online, rc.Batch = max(0, rc.Online), max(0, rc.Batch)
		entry.counts[rc.ID] = rc
	}
	changed := make(map[core.ReplicaID]inFlight)
	if l.nodes[from] == nil && entry.online() > len(c.ConfirmedGrants) {
		l.nodeChanges++
	}
	l.removeNode(from, changed)
	l.nodes[from] = entry
	for id, rc := range entry.counts {
		sum := l.sums[id]
		l.sums[id] = inFlight{online: sum.online + rc.Online, batch: sum.batch + rc.Batch}
		changed[id] = l.sums[id]
		if rc.Batch > 0 {
			l.addHolder(id, from, Victim{})
		}
	}
	for _, v := range c.Victims {
		if v.Index < 0 || v.Index >= len(c.Replicas) {
			continue
		}
		if id := c.Replicas[v.Index].ID; entry.counts[id].Batch > 0 {
			l.addHolder(id, from, Victim{Due: time.Duration(v.DueMS) * time.Millisecond, Late: v.Late})
		}
	}
	return changed
}

func (l *ledger) addHolder(replica core.ReplicaID, node core.NodeID, v Victim) {
	if l.holders[replica] == nil {
		l.holders[replica] = make(map[core.NodeID]Victim)
	}
	l.holders[replica][node] = v
}

func (l *ledger) removeHolder(replica core.ReplicaID, node core.NodeID) {
	delete(l.holders[replica], node)
	if len(l.holders[replica]) == 0 {
		delete(l.holders, replica)
	}
}

// removeNode subtracts the counts of a node from the sums, adds the new sums to
// changed and deletes the node.
func (l *ledger) removeNode(node core.NodeID, changed map[core.ReplicaID]inFlight) {
	entry, ok := l.nodes[node]
	if !ok {
		return
	}
	for id, rc := range entry.counts {
		sum := l.sums[id]
		sum = inFlight{online: sum.online - rc.Online, batch: sum.batch - rc.Batch}
		changed[id] = sum
		if sum == (inFlight{}) {
			delete(l.sums, id)
		} else {
			l.sums[id] = sum
		}
		l.removeHolder(id, node)
	}
	delete(l.nodes, node)
}

// expire removes the nodes whose counts have expired. It returns the sums that
// changed and the number of nodes that are left.
func (l *ledger) expire(now time.Time) (map[core.ReplicaID]inFlight, int) {
	changed := make(map[core.ReplicaID]inFlight)
	for node, entry := range l.nodes {
		if now.Sub(entry.receivedAt) > countsTTL {
			if entry.online() > 0 {
				l.nodeChanges++
			}
			l.removeNode(node, changed)
		}
	}
	return changed, len(l.nodes)
}

// sum returns the in-flight work of all nodes at a replica.
func (l *ledger) sum(replica core.ReplicaID) inFlight {
	return l.sums[replica]
}

// victim returns the node whose item is preempted first at a replica, and that
// item. ok is false if no node has an item there.
func (l *ledger) victim(replica core.ReplicaID) (holder core.NodeID, v Victim, ok bool) {
	for node, other := range l.holders[replica] {
		if !ok || other.Before(v) || other == v && node < holder {
			holder, v, ok = node, other, true
		}
	}
	return holder, v, ok
}

// claimBatchItem returns the node whose item is preempted first at a replica and
// deducts the item from its count.
func (l *ledger) claimBatchItem(replica core.ReplicaID) (core.NodeID, bool) {
	holder, _, ok := l.victim(replica)
	if !ok {
		return "", false
	}
	c := l.nodes[holder].counts[replica]
	c.Batch--
	l.nodes[holder].counts[replica] = c
	if c.Batch == 0 {
		l.removeHolder(replica, holder)
	}
	sum := l.sums[replica]
	sum.batch--
	l.sums[replica] = sum
	return holder, true
}
