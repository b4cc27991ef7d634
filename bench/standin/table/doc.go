// Package table is the stand-in for the platform's table service: an in-memory
// server with the rate limits of the real one and injected faults.
package table
