// Package coordinator tracks the open jobs of the shards that this node
// coordinates. It offers their ranges to workers, including ranges to take over
// from holders with expired leases, completes jobs and carries out cancellations.
//
// The role is not exclusive: two nodes may coordinate a shard for a short time.
// Conditions on row versions let only one of two competing claims succeed.
package coordinator
