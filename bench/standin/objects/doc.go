// Package objects is the stand-in of the platform's object store: an in-memory
// store with the capacity limits and the faults of the real one.
package objects
