package intent

// Outcome says whether a call with an idempotency key may be sent, and if not, why.
type Outcome uint8

const (
	// Started means that the call may be sent by the returned attempt.
	Started Outcome = iota + 1
	// Replay means that the call ran; Response is its stored response.
	Replay
	// InProgressOrUnknown means that the call was sent, or may have been or may
	// still be sent, and that its response is not known.
	InProgressOrUnknown
	// ResponseTooLarge means that the call ran and that its response was too large to
	// be stored.
	ResponseTooLarge
	// KeyReused means that the key was first used with a different request.
	KeyReused
)

// Decision is the result of Begin.
type Decision struct {
	Outcome  Outcome
	Attempt  *Attempt // set with Started
	Response Response // set with Replay
}

// decide returns the decision for a call that found the record of another attempt.
// Started means that the call may replace the record by its own.
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
