// Package replica holds a node's view of the backend servers: who they are, what
// they last said of their load, which connections are open to them and which
// of them should serve a piece of work.
//
// Choosing reads an immutable view and atomic counters and takes no lock.
package replica
