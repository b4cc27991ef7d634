// Package lease keeps the own node's lease and observes those of others.
//
// A node holds ranges within a session. A session has one row, renewed while
// it holds ranges; deleting the row ends the session for good. The holder
// judges its lease by its own monotonic clock, counted from the beginning of
// its last successful renewal. Others judge it by the time that they saw the
// row unchanged on their clock, which begins later, and delete it on condition
// of its version, so a holder has stopped before anyone else takes over.
package lease
