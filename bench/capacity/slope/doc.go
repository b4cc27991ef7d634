// Package slope fits straight lines to measured points and prints each fit as one
// line of text.
package slope
