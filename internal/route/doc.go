// Package route chooses a replica for a piece of work: power of two choices by
// estimated load, with prefix affinity, and without replicas that are leaving,
// down, excluded or ejected.
//
// Choosing reads an immutable table and atomic counters; it takes no lock and
// allocates nothing. Observations and changes of the table take a lock.
package route
