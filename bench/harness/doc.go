// Package harness starts stand-in servers and nodes as separate processes on
// loopback and controls them over HTTP and by signals, for the demo, the
// measurements and the soak test.
package harness
