// Package peer carries calls and one-way messages between nodes over TCP, one
// length-prefixed msgpack frame each.
package peer
