// Package objects is the stand-in for the platform's object store: an in-memory
// server with the rate limits of the real one and injected faults.
package objects
