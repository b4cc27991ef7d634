// Package infratest has in-memory implementations of the platform's table
// services and object store with fault injection: outages, delays, refused
// writes and lost responses. Tests use them directly, and the stand-in servers
// of the bench module serve them over HTTP.
package infratest
