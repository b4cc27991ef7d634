// Package placement chooses the replicas of online requests. For each service
// one node, the hub, knows the work of all nodes at its replicas exactly: every
// node asks it before it sends a request and tells it what ended. Requests that
// find no free slot wait at the hub, in an order in which as many as possible
// begin in time. Nodes that do not reach a hub choose by what they know.
package placement
