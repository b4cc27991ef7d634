// Package integration tests clusters of nodes in one process against stand-in
// servers, while the platform, the network between nodes or the engines fail.
package integration
