// Package placement chooses the replicas of online requests and of items of
// jobs. For each group of replicas one node, the hub, knows the work of all
// nodes at them: every node asks it before it sends a request and tells it what
// ended. Requests that find no free slot wait at the hub, in an order in which
// as many as possible begin in time. Nodes that do not reach a hub choose by
// what they know.
//
// Service is the side that asks, hub the side that answers; pool is the policy,
// a function of its inputs and the time.
package placement
