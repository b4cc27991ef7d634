// Package netopt sets the TCP options with which a node detects an unresponsive
// peer, on the connections that it dials and accepts.
package netopt
