// Package sse parses streams of server-sent events. It keeps the raw bytes of
// each event, so that a stream can be forwarded unchanged.
package sse
