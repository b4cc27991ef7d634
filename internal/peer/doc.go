// Package peer is the transport between nodes: requests with a response and
// one-way messages over TCP. Each is one length-prefixed msgpack frame, and a
// node dials its own connection to each node that it sends to.
package peer
