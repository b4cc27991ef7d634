package ranges

import (
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/core"
)

// Progress counts the executions of an item by this holder.
type Progress struct {
	Tries           int // executions that ended as item failures
	BackendFailures int
}

// Limits bounds the executions of an item.
type Limits struct {
	Tries           int
	BackendFailures int
	Backoff         time.Duration
	BackoffMax      time.Duration
}

// Step says what follows an execution.
type Step uint8

const (
	// StepRecord records the outcome as the item's result.
	StepRecord Step = iota
	// StepRepeat executes the item again after a pause.
	StepRepeat
	// StepReturn makes the item startable again at once; it was not run.
	StepReturn
)

// Verdict is what follows an execution.
type Verdict struct {
	Step     Step
	Progress Progress
	After    time.Duration // of StepRepeat
	// Outcome is what is recorded by StepRecord. A backend failure of a
	// non-idempotent item that may have run is recorded as unknown.
	Outcome batch.Outcome
}

// Judge decides what follows an execution of an item.
func Judge(p Progress, out batch.Outcome, nonIdempotent bool, l Limits) Verdict {
	switch out.Kind {
	case batch.NotRun:
		return Verdict{Step: StepReturn, Progress: p}
	case batch.ItemFailure:
		p.Tries++
		if nonIdempotent || p.Tries >= l.Tries {
			return Verdict{Step: StepRecord, Progress: p, Outcome: out}
		}
		return Verdict{Step: StepRepeat, Progress: p, After: batch.Backoff(l.Backoff, l.BackoffMax, p.Tries-1)}
	case batch.BackendFailure:
		p.BackendFailures++
		if nonIdempotent && out.Execution != core.NotRun {
			out.Kind = batch.Unknown
			return Verdict{Step: StepRecord, Progress: p, Outcome: out}
		}
		if p.BackendFailures >= l.BackendFailures {
			return Verdict{Step: StepRecord, Progress: p, Outcome: out}
		}
		return Verdict{Step: StepRepeat, Progress: p, After: batch.Backoff(l.Backoff, l.BackoffMax, p.BackendFailures-1)}
	default:
		return Verdict{Step: StepRecord, Progress: p, Outcome: out}
	}
}
