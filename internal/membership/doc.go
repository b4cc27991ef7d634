// Package membership tracks the nodes of the fleet and their state. Heartbeats
// decide which nodes of a node's own data centre are live, and digests report the
// live nodes of the other data centres of the region. Rendezvous hashing over the
// live nodes assigns each key an owner.
package membership
