// Package owner keeps the slot ledgers of the replicas that this node owns.
// Ledger implements the scheduling policy without I/O: it decides which requests
// get a slot, which wait and which are preempted. Service keeps one ledger per
// replica, each guarded by a mutex, and handles the messages of the nodes that
// hold reservations (the holders).
package owner
