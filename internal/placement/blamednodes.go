package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// nodeBlameWindow is the time over which the failures of a node are compared with its
	// successes.
	nodeBlameWindow = time.Second
	// minBlamedReplicas is the number of replicas at which a node must have failed in this
	// time, and at more of them than it has succeeded at, to be taken for the cause.
	minBlamedReplicas = 3
)

// blamedNodes holds the replicas at which each node has failed or succeeded last, to tell
// a node that fails everywhere from replicas that fail.
type blamedNodes map[core.NodeID]map[core.ReplicaID]lastOutcome

type lastOutcome struct {
	failed bool
	at     time.Time
}

// fails records the failure of a node at a replica. It reports whether the node is taken
// for the cause.
func (b blamedNodes) fails(node core.NodeID, id core.ReplicaID, now time.Time) bool {
	b.set(node, id, lastOutcome{failed: true, at: now})
	failed, succeeded := 0, 0
	for _, last := range b[node] {
		switch {
		case now.Sub(last.at) > nodeBlameWindow:
		case last.failed:
			failed++
		default:
			succeeded++
		}
	}
	return failed >= minBlamedReplicas && failed > succeeded
}

// succeeds records the success of a node at a replica.
func (b blamedNodes) succeeds(node core.NodeID, id core.ReplicaID, now time.Time) {
	b.set(node, id, lastOutcome{at: now})
}

func (b blamedNodes) set(node core.NodeID, id core.ReplicaID, last lastOutcome) {
	if b[node] == nil {
		b[node] = make(map[core.ReplicaID]lastOutcome)
	}
	b[node][id] = last
}

func (b blamedNodes) expire(now time.Time) {
	for node, byReplica := range b {
		for id, last := range byReplica {
			if now.Sub(last.at) > nodeBlameWindow {
				delete(byReplica, id)
			}
		}
		if len(byReplica) == 0 {
			delete(b, node)
		}
	}
}
