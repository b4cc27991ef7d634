package intent

// State is the state of a record.
type State uint8

const (
	// StateSent means that the attempt may send, has sent, or died before.
	StateSent State = iota + 1
	// StateDone means that the call ran and was answered.
	StateDone
	// StateAbandoned means that the attempt did not run the call and will not.
	StateAbandoned
)
