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
type ejectionVotes map[core.NodeID]ejectionVote

type ejectionVote struct {
	receivedAt time.Time
	replicas   []core.ReplicaID
}

// record replaces the vote of a node.
func (v ejectionVotes) record(node core.NodeID, replicas []core.ReplicaID, now time.Time) {
	v[node] = ejectionVote{receivedAt: now, replicas: replicas}
}

// ejected returns the replicas that enough nodes have ejected, or none if these
// are all replicas of the group.
func (v ejectionVotes) ejected(all []replicaSlots, now time.Time) map[core.ReplicaID]bool {
	votes := make(map[core.ReplicaID]int)
	voters := 0
	for node, vote := range v {
		if now.Sub(vote.receivedAt) > ejectionVoteTTL {
			delete(v, node)
			continue
		}
		voters++
		for _, id := range vote.replicas {
			votes[id]++
		}
	}
	if len(votes) == 0 {
		return nil
	}
	out := make(map[core.ReplicaID]bool)
	for id, n := range votes {
		if n >= minEjectionVotes && float64(n) >= minEjectionVoteShare*float64(voters) {
			out[id] = true
		}
	}
	if !slices.ContainsFunc(all, func(r replicaSlots) bool { return !out[r.id] }) {
		return nil
	}
	return out
}
