package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// avoidVoteTTL is how long the vote of a node counts. Nodes renew it with
	// each placement request, several times a second.
	avoidVoteTTL = time.Second
	// minAvoidVotes is the least number of nodes, and minAvoidVoteShare the
	// least share of the voting nodes, that must avoid a replica for the hub to
	// avoid it. Failures that fewer nodes see are local to these nodes, which
	// exclude the replica in their own requests.
	minAvoidVotes     = 2
	minAvoidVoteShare = 0.3
)

// avoidVotes holds, by node, the replicas that the node avoids after failures
// of its own requests. The hub combines them because a node that has not used a
// replica since it was cut off or crashed would still send requests to it.
type avoidVotes map[core.NodeID]avoidVote

type avoidVote struct {
	receivedAt time.Time
	replicas   []core.ReplicaID
}

// record replaces the vote of a node.
func (v avoidVotes) record(node core.NodeID, replicas []core.ReplicaID, now time.Time) {
	v[node] = avoidVote{receivedAt: now, replicas: replicas}
}

// avoided returns the replicas that enough nodes avoid, or none if these are
// all replicas of the group.
func (v avoidVotes) avoided(all []replicaSlots, now time.Time) map[core.ReplicaID]bool {
	votes := make(map[core.ReplicaID]int)
	voters := 0
	for node, vote := range v {
		if now.Sub(vote.receivedAt) > avoidVoteTTL {
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
		if n >= minAvoidVotes && float64(n) >= minAvoidVoteShare*float64(voters) {
			out[id] = true
		}
	}
	if !slices.ContainsFunc(all, func(r replicaSlots) bool { return !out[r.id] }) {
		return nil
	}
	return out
}
