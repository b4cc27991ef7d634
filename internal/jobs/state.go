package jobs

// State is the state of a job.
type State string

const (
	// StateOpen is a job with items that have no result yet.
	StateOpen State = "open"
	// StateDone is a job whose items all have results.
	StateDone State = "done"
	// StateCancelled is a job that its caller ended.
	StateCancelled State = "cancelled"
)

// ItemState is how an item ended.
type ItemState string

const (
	// ItemSucceeded is an item with its whole output.
	ItemSucceeded ItemState = "succeeded"
	// ItemDead is an item that was given up.
	ItemDead ItemState = "dead"
)
