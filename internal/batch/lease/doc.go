// Package lease maintains the lease of this node and observes the leases of
// other nodes.
//
// A node holds ranges within a session. A session has one lease row, which is
// renewed while the session is open; deleting the row ends the session for good.
//
// The holder measures the age of its lease with its own monotonic clock, from the
// start of its last successful renewal. Other nodes measure how long they have
// seen the row unchanged, also with their own clocks. Their measurement starts
// later, and they delete the row only if its version is unchanged. A holder has
// therefore always stopped before another node takes its ranges over.
package lease
