package batch

import "gentiantide.example/gentiantide/internal/core"

// Kind says how an execution of an item ended.
type Kind uint8

const (
	// NotRun means that nothing was sent because the context ended. The item
	// may be started again.
	NotRun Kind = iota
	// Done means that the item has an answer.
	Done
	// Invalid means that the item can never succeed; it is not repeated.
	Invalid
	// ItemFailure means that the item was refused or failed; it counts as a try.
	ItemFailure
	// BackendFailure means that the engine itself failed; it does not count as
	// a try. A non-idempotent item is repeated only if Execution is core.NotRun.
	BackendFailure
	// Unknown means that a non-idempotent item may have run. It is recorded
	// as such and never run again.
	Unknown
)

// String returns the name of the kind in metrics and dumps.
func (k Kind) String() string {
	return [...]string{"not_run", "done", "invalid", "item_failure", "backend_failure", "unknown"}[min(k, Unknown)]
}

// Outcome is the result of one execution of an item.
type Outcome struct {
	Kind Kind
	// StatusCode and Body are the answer of a done item. A body that is not
	// JSON is recorded as a JSON string.
	StatusCode int
	RequestID  string
	Body       []byte
	// PromptTokens and OutputTokens are counts of a done item.
	PromptTokens, OutputTokens int
	// Code and Message describe a failure.
	Code    core.Code
	Message string
	// Execution applies to BackendFailure.
	Execution core.Execution
}
