package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

// Progress counts the failed executions of an item by the current holder.
type Progress struct {
	Tries           int // executions that ended as item failures
	BackendFailures int
}

// Limits bounds the executions of an item and the delays between them.
type Limits struct {
	Tries           int
	BackendFailures int
	Backoff         time.Duration
	BackoffMax      time.Duration
}

// NextStep says what follows an execution of an item.
type NextStep uint8

const (
	// StepRecord records the outcome as the result of the item.
	StepRecord NextStep = iota
	// StepRetry executes the item again after a delay.
	StepRetry
	// StepRequeue makes the item startable again at once, since it was not run.
	StepRequeue
)

// Decision is the result of Decide.
type Decision struct {
	NextStep NextStep
	Progress Progress
	Delay    time.Duration // for StepRetry
	// Outcome is the outcome to record for StepRecord. A backend failure of a
	// non-idempotent item that may have run is recorded as unknown.
	Outcome batch.Outcome
}

// Decide decides what follows an execution of an item.
func Decide(p Progress, out batch.Outcome, nonIdempotent bool, l Limits) Decision {
	switch out.Kind {
	case batch.NotRun:
		return Decision{NextStep: StepRequeue, Progress: p}
	case batch.ItemFailure:
		p.Tries++
		if nonIdempotent || p.Tries >= l.Tries {
			return Decision{NextStep: StepRecord, Progress: p, Outcome: out}
		}
		return Decision{NextStep: StepRetry, Progress: p, Delay: batch.Backoff(l.Backoff, l.BackoffMax, p.Tries-1)}
	case batch.BackendFailure:
		p.BackendFailures++
		if nonIdempotent && out.Execution != core.NotRun {
			out.Kind = batch.Unknown
			return Decision{NextStep: StepRecord, Progress: p, Outcome: out}
		}
		if p.BackendFailures >= l.BackendFailures {
			return Decision{NextStep: StepRecord, Progress: p, Outcome: out}
		}
		return Decision{NextStep: StepRetry, Progress: p, Delay: batch.Backoff(l.Backoff, l.BackoffMax, p.BackendFailures-1)}
	default:
		return Decision{NextStep: StepRecord, Progress: p, Outcome: out}
	}
}
