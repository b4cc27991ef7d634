package relay

// Sink receives the tokens of a generation, each once and in order. It is
// called from one goroutine.
type Sink interface {
	// Token takes the text of the next token. An error means that the caller
	// is gone; the generation is then cancelled.
	Token(text string) error
}

// Discard is a Sink for work whose text is taken from the Result.
type Discard struct{}

// Token implements Sink.
func (Discard) Token(string) error { return nil }
