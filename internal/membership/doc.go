// Package membership keeps the list of nodes: who is live by direct
// heartbeats, and which node owns what by rendezvous hashing.
package membership
