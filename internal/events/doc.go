// Package events reads server-sent event streams. It keeps the bytes of each
// event as they came, so that a stream can be forwarded unchanged.
package events
