// Package table is the stand-in of the platform's table service: an in-memory
// table with the capacity limits and the faults of the real one.
package table
