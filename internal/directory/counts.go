package directory

// Counts is the owner's use of a replica.
type Counts struct {
	// InUse counts all reservations in use, Batch those of them that are batch.
	InUse, Batch int
	// Queued counts the online requests that wait.
	Queued int
}
