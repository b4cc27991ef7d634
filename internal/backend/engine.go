package backend

import (
	"context"
	"time"
)

// GenerateRequest is one generation on a model engine.
type GenerateRequest struct {
	// ID is chosen by the sender. It identifies the request when the engine is
	// told to cancel it.
	ID    string
	Model string
	// Path is the API path that the caller used: "/v1/chat/completions" or
	// "/v1/completions".
	Path string
	// Body is the caller's JSON request without the fields that the relay
	// sets itself (stream, resume_from).
	Body []byte
	// ResumeFrom is the number of tokens already delivered. The engine continues
	// with the next token, for which it needs the text in Generated.
	ResumeFrom int
	// Generated is the text delivered so far. It is used only if ResumeFrom > 0.
	Generated string
	// Deadline is when the sender stops waiting; zero means no deadline.
	Deadline time.Time
}

// Token is one token of a stream.
type Token struct {
	// Index counts from 0 over the whole output, also after a resume.
	Index int
	Text  string
}

// Finish holds the finish reason and the token counts of a complete stream.
type Finish struct {
	// Reason is the engine's finish reason: "stop" or "length".
	Reason       string
	PromptTokens int
	// OutputTokens counts all output tokens, including those before a resume.
	OutputTokens int
}

// Stream is one running generation. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next token. After the last token of a complete stream it
	// returns io.EOF. Any other error matches one of this package's errors; the
	// tokens returned before it are correct.
	Next() (Token, error)
	// Finish is valid only after Next has returned io.EOF.
	Finish() Finish
	// Close cancels the generation on the engine if it is still running.
	Close() error
}

// Load is a load report of a backend server. It lags behind the actual load.
type Load struct {
	// At is when the backend server made the report.
	At      time.Time
	Running int
	Waiting int
	// Slots is the number of requests that the engine batches together.
	Slots int
	// KVUsed is the used fraction of the KV cache, 0 to 1.
	KVUsed float64
	// Models lists the loaded models as "model@version" or
	// "model@version+adapter".
	Models []string
	Role   string
	// FencingNumber is the highest one among the orders the engine has accepted.
	FencingNumber uint64
	// Leaving is set while the engine is shutting down.
	Leaving bool
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderSetRole OrderKind = "set_role"
)

// Order requests that an engine load or unload a model or change its role.
type Order struct {
	Kind          OrderKind
	Model         string
	Version       string
	Adapter       string
	Role          string
	FencingNumber uint64
}

// Engine is one replica of a model engine.
type Engine interface {
	// Generate starts a stream. Errors: ErrRefused (not run), ErrUnreachable
	// (no byte was sent), ErrInterrupted (may have run), ErrInvalid.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Load reads the engine's load report. Errors: ErrUnreachable.
	Load(ctx context.Context) (Load, error)
	// Order sends an order to the engine. Errors: ErrFenced, ErrUnreachable,
	// ErrInterrupted.
	Order(ctx context.Context, order Order) error
}
