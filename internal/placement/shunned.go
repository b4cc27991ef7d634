package placement

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// shunTTL is how long what a node avoids counts. Nodes ask several times a
	// second.
	shunTTL = time.Second
	// shunNodes is the least number of nodes that must avoid a replica for the
	// hub to avoid it, and shunShare their least share: trouble that few nodes
	// see is theirs, and they name the replica in each question.
	shunNodes = 2
	shunShare = 0.3
)

// shunned is what each node avoids after failures that it met itself. The hub
// goes by the experience of all: a node that has not used a replica since it
// was cut off or crashed would still send to it.
type shunned map[core.NodeID]shunning

type shunning struct {
	at       time.Time
	replicas []core.ReplicaID
}

// learn takes what a node avoids now.
func (s shunned) learn(node core.NodeID, replicas []core.ReplicaID, now time.Time) {
	s[node] = shunning{at: now, replicas: replicas}
}

// list returns the replicas that are avoided, unless that is all of them.
func (s shunned) list(all []slot, now time.Time) map[core.ReplicaID]bool {
	votes := make(map[core.ReplicaID]int)
	voters := 0
	for node, one := range s {
		if now.Sub(one.at) > shunTTL {
			delete(s, node)
			continue
		}
		voters++
		for _, id := range one.replicas {
			votes[id]++
		}
	}
	if len(votes) == 0 {
		return nil
	}
	out := make(map[core.ReplicaID]bool)
	for id, n := range votes {
		if n >= shunNodes && float64(n) >= shunShare*float64(voters) {
			out[id] = true
		}
	}
	if !slices.ContainsFunc(all, func(r slot) bool { return !out[r.id] }) {
		return nil
	}
	return out
}
