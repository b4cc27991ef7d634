// Package callerconn serves the callers' HTTP connections of a node on the users'
// platform. It knows what each connection is doing, so that a connection that is
// closed without a response to a request is counted and logged with the reason.
package callerconn
