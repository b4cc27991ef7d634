// Package cluster runs the nodes of one region in one process, with the peer
// transport over loopback and without HTTP, so that the cost of each role can be
// measured on its own.
package cluster
