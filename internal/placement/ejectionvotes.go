package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// ejectionVoteTTL is how long the vote of a node counts. Nodes renew it with
	// each placement request, several times a second.
	ejectionVoteTTL = time.Second
	// minEjectionVotes is the least number of nodes, and minEjectionVoteShare the
	// least share of the voting nodes, that must have ejected a replica before the
	// hub ejects it. Failures that fewer nodes see are local to these nodes, which
	// exclude the replica in their own requests.
	minEjectionVotes     = 2
	minEjectionVoteShare = 0.3
)

// ejectionVotes holds, by node, the replicas that the node has ejected after
// failures of its own requests. The hub combines them because a node that has
// not used a replica since it was cut off or crashed would still send requests
// to it.
//
// The votes are counted as they arrive: while a data centre is cut off, each of
// hundreds of nodes votes for dozens of replicas, and the hub asks for the result
// many times for each request.
type ejectionVotes struct {
	byNode map[core.NodeID]ejectionVote
	counts map[core.ReplicaID]int // number of votes
}

type ejectionVote struct {
	receivedAt time.Time
	replicas   []core.ReplicaID
}

func newEjectionVotes() ejectionVotes {
	return ejectionVotes{byNode: make(map[core.NodeID]ejectionVote), counts: make(map[core.ReplicaID]int)}
}

// record replaces the vote of a node.
func (v *ejectionVotes) record(node core.NodeID, replicas []core.ReplicaID, now time.Time) {
	old, known := v.byNode[node]
	if !known || !slices.Equal(old.replicas, replicas) {
		v.remove(node)
		for _, id := range replicas {
			v.counts[id]++
		}
	}
	v.byNode[node] = ejectionVote{receivedAt: now, replicas: replicas}
}

func (v *ejectionVotes) remove(node core.NodeID) {
	for _, id := range v.byNode[node].replicas {
		if v.counts[id]--; v.counts[id] <= 0 {
			delete(v.counts, id)
		}
	}
	delete(v.byNode, node)
}

// expire removes the votes that were not renewed.
func (v *ejectionVotes) expire(now time.Time) {
	for node, vote := range v.byNode {
		if now.Sub(vote.receivedAt) > ejectionVoteTTL {
			v.remove(node)
		}
	}
}

// ejected reports whether enough nodes have ejected a replica.
func (v *ejectionVotes) ejected(id core.ReplicaID) bool {
	n := v.counts[id]
	return n >= minEjectionVotes && float64(n) >= minEjectionVoteShare*float64(len(v.byNode))
}
