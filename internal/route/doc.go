// Package route chooses a replica for each request by the power of two random
// choices on estimated load, with prefix affinity. It skips replicas that are
// leaving, down, excluded or ejected.
//
// Choosing reads an immutable table and atomic counters, takes no lock and does
// not allocate. Observations and changes of the table take a lock.
package route
