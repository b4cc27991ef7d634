// Package limit holds the pure limits of a node: the retry budget and the
// bound on each organisation's requests in flight.
package limit
