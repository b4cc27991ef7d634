// Package replica holds a node's view of the backend servers (replicas): their
// registrations, their last reported load, their health and the open connections
// to them. It chooses the replica for a request or an item of a job and sends
// requests to it.
//
// Choosing a replica reads an immutable view and atomic counters and takes no
// lock.
package replica
