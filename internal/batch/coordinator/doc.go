// Package coordinator watches the open jobs of the shards that the own node
// coordinates. It hands out their ranges to workers that ask, has ranges of
// lapsed leases taken over, completes jobs and carries out cancellations.
//
// The role is soft: two nodes may coordinate a shard for a moment. Row
// versions decide between their workers' claims.
package coordinator
