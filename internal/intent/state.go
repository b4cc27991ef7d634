package intent

// State is the state of an intent record.
type State uint8

const (
	// StateSent means that the attempt may send or has sent the call, or that its
	// node crashed before it could.
	StateSent State = iota + 1
	// StateDone means that the call ran and returned a response.
	StateDone
	// StateAbandoned means that the attempt did not send the call and never will.
	StateAbandoned
)
