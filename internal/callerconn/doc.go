// Package callerconn serves the callers' HTTP connections of a node on the users'
// platform. It puts one state machine around the connections of one HTTP server:
// each connection knows what it is doing, follows the operator's limits as they
// change, and is never closed by the node while bytes of a request have been read or
// can be read. A connection that ends without a response to a request is counted and
// logged with the reason.
package callerconn
