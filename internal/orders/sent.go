package orders

import (
	"errors"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Outcome is what is known of an order that was sent.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeTaken means that the engine confirmed the order.
	OutcomeTaken Outcome = "taken"
	// OutcomeNotRun means that the order had no effect.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeInvalid means that the engine can never execute the order.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnknown means that the answer was lost: the order has an effect
	// now, later or never.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFenced means that the engine has taken a higher number.
	OutcomeFenced Outcome = "fenced"
)

func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeTaken
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

// Sent is the last sending of an order.
type Sent struct {
	Order backend.Order
	// Ended is when the answer arrived or the call failed.
	Ended   time.Time
	Outcome Outcome
	// Tries counts the sendings of this order since it last had its effect.
	Tries int
}

// mayRun reports whether the engine may have the order.
func (s Sent) mayRun() bool { return s.Outcome == OutcomeTaken || s.Outcome == OutcomeUnknown }

// lost reports whether the engine no longer knows of an order: one that
// honours numbers reports the highest that it has taken, unless it was
// restarted since.
func (s Sent) lost(r Report, honours bool, lag time.Duration) bool {
	return honours && r.shows(s.Ended, lag) && r.Load.FencingNumber < s.Order.FencingNumber
}
