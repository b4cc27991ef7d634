// Package env runs one user's shape on loopback for the measurements: the
// platform, the backend servers, the nodes and the naive proxy as processes.
package env
