package backend

import (
	"context"
	"time"
)

// GenerateRequest is one generation on a model engine.
type GenerateRequest struct {
	// ID is chosen by the sender; an engine reports it in its load and takes
	// it for cancellation.
	ID    string
	Model string
	// Path is the API path the caller used: "/v1/chat/completions" or
	// "/v1/completions".
	Path string
	// Body is the caller's JSON request without the fields that the relay
	// sets itself (stream, resume_from).
	Body []byte
	// ResumeFrom is the number of tokens already delivered; the engine starts
	// with the next one. Resumption needs the tokens in Generated.
	ResumeFrom int
	// Generated is the text delivered so far, used when ResumeFrom > 0.
	Generated string
	// Deadline is when the sender stops waiting.
	Deadline time.Time
}

// Token is one streamed token.
type Token struct {
	// Index counts from 0 over the whole answer, also after a resume.
	Index int
	Text  string
}

// Finish says how a stream ended.
type Finish struct {
	// Reason is the engine's finish reason: "stop" or "length".
	Reason       string
	PromptTokens int
	// OutputTokens counts all tokens of the answer, also those before a resume.
	OutputTokens int
}

// Stream is one running generation. It is used by one goroutine.
type Stream interface {
	// Next returns the next token. At the regular end it returns io.EOF, and
	// Finish is valid. Any other error is one of this package's errors; the
	// tokens returned so far are correct.
	Next() (Token, error)
	// Finish returns how the stream ended; valid after io.EOF.
	Finish() Finish
	// Close cancels the generation on the engine if it is still running.
	Close() error
}

// Load is what an engine last reported of itself. It lags.
type Load struct {
	At      time.Time
	Running int
	Waiting int
	// Slots is the number of requests that the engine batches together.
	Slots int
	// KVUsed is the used share of the KV cache, 0 to 1.
	KVUsed float64
	// Models lists what is loaded as "model@version" or
	// "model@version+adapter".
	Models []string
	Role   string
	// FencingNumber is the highest one the engine has taken an order with.
	FencingNumber uint64
	// Leaving is set while the engine is shutting down.
	Leaving bool
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "set_role"
)

// Order asks an engine to change what it serves.
type Order struct {
	Kind          OrderKind
	Model         string
	Version       string
	Adapter       string
	Role          string
	FencingNumber uint64
}

// Engine is one model engine replica.
type Engine interface {
	// Generate starts a stream. Errors: ErrRefused (not run), ErrUnreachable
	// (no byte was sent), ErrInterrupted (may have run), ErrInvalid.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Load reads the engine's load report. Errors: ErrUnreachable.
	Load(ctx context.Context) (Load, error)
	// Order sends an order. Errors: ErrFenced, ErrUnreachable, ErrInterrupted.
	Order(ctx context.Context, order Order) error
}
