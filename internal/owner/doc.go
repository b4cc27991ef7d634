// Package owner keeps the slot ledgers of the replicas that this node owns.
// Ledger is the pure policy: who gets a slot, who waits, who is preempted.
// Service wraps one ledger per replica with a mutex and serves the messages of
// the holders of reservations.
package owner
