package peer

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

// ErrUnavailable means that the peer is not connected or that the connection
// was lost before the answer arrived.
var ErrUnavailable = errors.New("peer unavailable")

// Handler serves one kind of message. It gets the msgpack body and returns the
// msgpack body of the answer; for one-way messages the answer is dropped.
//
// A panic in a handler ends the process, unlike one in a handler of an HTTP
// request: handlers work on state that nodes share, such as the slot ledger of
// a replica, and going on with a half-made change would spread it.
type Handler func(ctx context.Context, from core.NodeID, body []byte) ([]byte, error)

// Messenger sends messages to other nodes and registers handlers for theirs.
// A message to the own node is handled without a connection.
type Messenger interface {
	// Self returns the id of the own node.
	Self() core.NodeID
	// Handle registers the handler of a kind. It is called before Start.
	Handle(kind string, handler Handler)
	// Call encodes req, sends it and decodes the answer into resp.
	// Errors: ErrUnavailable, the context's error, or the handler's error as
	// *RemoteError.
	Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error
	// Send sends a one-way message; it does not wait. A message that cannot be
	// sent is dropped and ErrUnavailable returned.
	Send(to core.NodeID, kind string, msg any) error
}

// RemoteError is an error that the other node's handler returned.
type RemoteError struct {
	Message string `msgpack:"m"`
}

// Error returns the handler's message.
func (e *RemoteError) Error() string { return e.Message }
