package relay

// Sink receives the tokens of a generation, each once and in order. It is called
// from a single goroutine.
type Sink interface {
	// Token receives the text of the next token. An error means that the caller has
	// disconnected; the generation is then cancelled.
	Token(text string) error
}

// Discard is a Sink that ignores the tokens, for callers that use the text of the
// Result.
type Discard struct{}

// Token implements Sink.
func (Discard) Token(string) error { return nil }
