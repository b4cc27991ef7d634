// Package harness starts stand-ins and nodes as separate processes on loopback
// and drives them from outside, for the demo and the measurements.
package harness
