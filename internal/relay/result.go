package relay

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Result is what became of a generation, also of one that was refused.
type Result struct {
	// Text is the text of all delivered tokens.
	Text string
	// Tokens is the number of delivered tokens.
	Tokens int
	// FinishReason is the engine's, "stop" or "length"; empty if the
	// generation did not end.
	FinishReason string
	PromptTokens int
	// Attempts is the number of sends, hedges included.
	Attempts int
	// Execution is NotRun if no backend server can have run the work.
	Execution core.Execution
	// FirstToken is the time from the call of Generate to the first token.
	FirstToken time.Duration
}
