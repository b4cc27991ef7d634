package directory

// Counts is the load of a replica as counted by its owner.
type Counts struct {
	// InUse is the number of reservations in use, and Batch the number of batch
	// reservations among them.
	InUse, Batch int
	// Queued is the number of online requests that wait for a reservation.
	Queued int
}
