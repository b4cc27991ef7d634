// Package netopt sets the TCP options by which a node notices a peer that has
// gone silent, on connections that it opens and accepts.
package netopt
