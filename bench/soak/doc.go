// Package soak runs nodes as separate processes against test doubles of the
// users' platform, injects random faults from outside the processes, and checks
// the guarantees to callers and backend servers. A run with the same seed makes
// the same random choices; only the scheduling may differ. Runs with an odd seed
// have organisations with keys.
package soak
