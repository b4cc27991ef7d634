// Package slope fits straight lines through measured points and prints them,
// one line each.
package slope
