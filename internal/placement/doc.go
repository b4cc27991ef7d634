// Package placement assigns online requests and job items to replicas. The
// replicas of a service are divided into groups. For each group one node, the
// hub, tracks the in-flight work of all nodes: every node asks the hub for a
// replica before it sends a request, and reports to it what ended. Requests
// that find no free slot are queued at the hub, in an order that lets as many
// as possible start on time. A node that reaches no hub chooses a replica by
// its own information.
//
// Service is the client side of a hub, and hub is the server side. scheduler
// holds the policy; it depends only on its inputs and the times passed to it.
package placement
