package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Result is the result of a generation. It is also valid if the generation was
// refused.
type Result struct {
	// Text is the concatenated text of all delivered tokens.
	Text string
	// Tokens is the number of delivered tokens.
	Tokens int
	// FinishReason is the engine's finish reason, "stop" or "length". It is empty if
	// the generation did not complete.
	FinishReason string
	PromptTokens int
	// Attempts is the number of sends, hedges included.
	Attempts int
	// Execution is NotRun only if no backend server can have run the generation.
	Execution core.Execution
	// FirstToken is the time from the call of Generate to the first token.
	FirstToken time.Duration
}
