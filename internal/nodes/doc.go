// Package nodes lets the nodes of a deployment know of each other through rows
// of the table service: where each is reached and until when it counts as
// alive. A node's lifetime is one run of its process.
package nodes
