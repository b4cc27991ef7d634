package intent

// Outcome says what a call with a key may do.
type Outcome uint8

const (
	// Started means that the call may be sent by the returned attempt.
	Started Outcome = iota + 1
	// Replay means that the call ran; Answer is what it was answered.
	Replay
	// InProgressOrUnknown means that the call was or may have been sent and
	// that its answer is not known.
	InProgressOrUnknown
	// ResponseTooLarge means that the call ran and that its answer was too large.
	ResponseTooLarge
	// KeyReused means that the key belongs to another request.
	KeyReused
)

// Decision is the result of Begin.
type Decision struct {
	Outcome  Outcome
	Attempt  *Attempt // with Started
	Response Response // with Replay
}

// decide says what a call may do that finds the record of another attempt;
// Started means that it may take the record over.
func decide(found record, digest Digest) Decision {
	switch {
	case found.Digest != digest:
		return Decision{Outcome: KeyReused}
	case found.State == StateAbandoned:
		return Decision{Outcome: Started}
	case found.State == StateDone && found.Response != nil:
		return Decision{Outcome: Replay, Response: *found.Response}
	case found.State == StateDone:
		return Decision{Outcome: ResponseTooLarge}
	default:
		return Decision{Outcome: InProgressOrUnknown}
	}
}
