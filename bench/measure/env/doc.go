// Package env runs the environment of the measurements on loopback: the stand-ins of
// the platform, the backend servers, the nodes and the naive proxy as processes, in
// the size of one user's fleet (its shape).
package env
