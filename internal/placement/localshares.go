package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// localShare is the fraction of a limit that one node uses while it reaches no hub. A
// hub that it does not reach may serve the other nodes at the same time.
const localShare = 0.5

// localShares holds this node's token buckets for limited replicas, for requests that
// it places without a hub.
type localShares map[core.ReplicaID]*rate.Limiter

// mayUseLocally reports whether this node's share of the limit of a replica, if it
// names one, allows a request now. The caller holds localMu.
func (s *Service) mayUseLocally(r *replica.Replica, now time.Time) bool {
	limit, ok := r.Limit()
	if !ok || !limit.Named {
		delete(s.localShares, r.Info().ID)
		return true
	}
	if s.candidates.Load().shareHolder(r.Info()) != s.Transport.Self() {
		return false
	}
	perSecond := localShare * usableRate(limit.Limit)
	bucket := s.localShares[r.Info().ID]
	if bucket == nil || bucket.Limit() != rate.Limit(perSecond) {
		bucket = newEmptyBucket(perSecond, 1, now)
		s.localShares[r.Info().ID] = bucket
	}
	return bucket.TokensAt(now) >= 1
}

// takeLocalShare takes a token for a request that is placed without a hub. The caller
// holds localMu.
func (s *Service) takeLocalShare(r *replica.Replica, now time.Time) {
	if bucket, ok := s.localShares[r.Info().ID]; ok {
		bucket.AllowN(now, 1)
	}
}

// shareHolder returns the node that may use a limited replica without a hub. With a
// share for each of hundreds of nodes, the first requests of all would exceed the limit
// at once. It is the first one of the replica's data centre by rendezvous hashing, as
// it reaches the replica also while the data centre is cut off. If there is none, it is
// the first one of the fleet.
func (c *hubCandidates) shareHolder(info *replica.Info) core.NodeID {
	if cached, ok := c.holderByReplica.Load(info.ID); ok {
		return cached.(core.NodeID)
	}
	type rank struct {
		near  bool
		score uint64
	}
	var holder core.NodeID
	var best rank
	for _, record := range c.records {
		r := rank{near: record.DataCentre == info.DataCentre, score: xxhash.Sum64String(string(info.ID) + "|" + string(record.ID))}
		if holder == "" || r.near && !best.near || r.near == best.near && r.score > best.score {
			holder, best = record.ID, r
		}
	}
	c.holderByReplica.Store(info.ID, holder)
	return holder
}
