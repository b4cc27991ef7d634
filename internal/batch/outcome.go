package batch

import "gentiantide.example/gentiantide/internal/core"

// OutcomeKind classifies how an execution of an item ended.
type OutcomeKind uint8

const (
	// NotRun means that the context ended before anything was sent. The item may
	// be started again.
	NotRun OutcomeKind = iota
	// Done means that the item has a response.
	Done
	// Invalid means that the item can never succeed; it is not retried.
	Invalid
	// ItemFailure means that the backend server refused the item or that the
	// item failed; it counts as a try.
	ItemFailure
	// BackendFailure means that the backend server itself failed; it does not
	// count as a try. A non-idempotent item is retried only if Execution is
	// core.NotRun.
	BackendFailure
	// Unknown means that a non-idempotent item may have run. It is recorded as
	// unknown and never run again.
	Unknown
)

// String returns the name that metrics use for the kind.
func (k OutcomeKind) String() string {
	return [...]string{"not_run", "done", "invalid", "item_failure", "backend_failure", "unknown"}[min(k, Unknown)]
}

// Outcome is the result of one execution of an item.
type Outcome struct {
	Kind OutcomeKind
	// StatusCode and Body are the response of a done item. A body that is not
	// JSON is recorded as a JSON string.
	StatusCode int
	RequestID  string
	Body       []byte
	// PromptTokens and OutputTokens are the token counts of a done item.
	PromptTokens, OutputTokens int
	// Code and Message describe a failure.
	Code    core.Code
	Message string
	// Execution says whether the item ran; it is set for BackendFailure only.
	Execution core.Execution
}
