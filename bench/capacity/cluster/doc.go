// Package cluster runs nodes of one region inside one process, with the
// transport over loopback and without HTTP, so that the cost of single roles
// can be counted.
package cluster
