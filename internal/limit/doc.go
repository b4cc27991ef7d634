// Package limit implements the in-memory limits of a node: the retry budget and
// the bound on each organisation's requests in flight. It does no I/O and reads
// no clock.
package limit
