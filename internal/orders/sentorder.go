package orders

import (
	"errors"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Outcome is what is known about an order that was sent.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeAccepted means that the engine confirmed the order.
	OutcomeAccepted Outcome = "taken"
	// OutcomeNotRun means that the order had no effect.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeInvalid means that the engine can never execute the order.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnknown means that the response was lost: the order may have taken
	// effect, or may do so later or never.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFenced means that the engine has accepted a higher fencing number.
	OutcomeFenced Outcome = "fenced"
)

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAccepted
	case errors.Is(err, backend.ErrFenced):
		return OutcomeFenced
	case errors.Is(err, backend.ErrInvalid):
		return OutcomeInvalid
	case errors.Is(err, backend.ErrUnreachable), errors.Is(err, backend.ErrRefused):
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// SentOrder records the last time that an order was sent.
type SentOrder struct {
	Order backend.Order
	// Ended is when the response arrived or the call failed.
	Ended   time.Time
	Outcome Outcome
	// Attempts counts how often the order was sent since it last took effect.
	Attempts int
}

// mayBeAccepted reports whether the engine may have accepted the order.
func (s SentOrder) mayBeAccepted() bool {
	return s.Outcome == OutcomeAccepted || s.Outcome == OutcomeUnknown
}

// lostByEngine reports whether the engine no longer has the order. An engine
// that honours fencing numbers reports the highest one that it has accepted; if
// that is below the order's number, the engine was restarted since or never
// accepted the order.
func (s SentOrder) lostByEngine(r Report, honoursFencing bool, lag time.Duration) bool {
	return honoursFencing && r.reflects(s.Ended, lag) && r.Load.FencingNumber < s.Order.FencingNumber
}
