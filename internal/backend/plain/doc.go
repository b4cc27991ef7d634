// Package plain implements backend.Service over HTTP. A call is sent at most
// once, also if a reused connection breaks.
package plain
