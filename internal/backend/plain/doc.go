// Package plain is the adapter to plain HTTP services. A call is sent at most
// once, whatever becomes of the connection.
package plain
