// Package integration tests several nodes in one process against the stand-ins
// while the platform, the network between nodes or the engines fail.
package integration
