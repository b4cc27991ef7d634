// Package infratest has in-memory implementations of the platform's table
// service and object store with faults that are commanded from outside:
// outages, slowness and lost answers. Tests use them directly, and the
// stand-in servers of the bench module serve them over HTTP.
package infratest
