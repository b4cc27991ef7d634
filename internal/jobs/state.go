package jobs

// State is the state of a job.
type State string

const (
	// StateOpen is the state of a job with items that have no result yet.
	StateOpen State = "open"
	// StateDone is the state of a job whose items all have results.
	StateDone State = "done"
	// StateCancelled is the state of a job that a caller or an operator cancelled.
	StateCancelled State = "cancelled"
)

// ItemState is the final state of an item.
type ItemState string

const (
	// ItemSucceeded is the state of an item whose output is complete.
	ItemSucceeded ItemState = "succeeded"
	// ItemDeadLetter is the state of an item that was abandoned without a complete
	// output.
	ItemDeadLetter ItemState = "dead"
)
