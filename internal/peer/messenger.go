package peer

import (
	"context"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

// ErrUnavailable means that a message could not be sent to the peer, or that the
// connection was lost before the response arrived. In the second case the peer
// may have handled the request.
var ErrUnavailable = errors.New("peer unavailable")

// Handler handles one kind of message. It gets the msgpack body of the request
// and returns the msgpack body of the response. The response to a one-way
// message is dropped.
//
// A panic in a handler ends the process, unless Transport.ContainPanics was called:
// message handlers change state that other nodes rely on, such as the slot ledger
// of a replica, and a process that went on after an incomplete change would pass
// inconsistent state to them, or keep a lock for ever.
type Handler func(ctx context.Context, from core.NodeID, body []byte) ([]byte, error)

// Messenger sends messages to other nodes and registers the handlers for
// incoming ones. A message from a node to itself needs no connection.
type Messenger interface {
	// Self returns the ID of this node.
	Self() core.NodeID
	// Handle registers the handler of a message kind. It must be called before
	// the transport starts.
	Handle(kind string, handler Handler)
	// Call encodes req, sends it and decodes the response into resp. A nil resp
	// ignores the response's body.
	// Errors: ErrUnavailable, the context's error, the handler's error as
	// *RemoteError, or an encoding error.
	Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error
	// Send queues a one-way message and does not wait. If the message cannot be
	// queued, it is dropped and Send returns ErrUnavailable. Delivery is best
	// effort.
	Send(to core.NodeID, kind string, msg any) error
}

// RemoteError is an error that the handler of the called node returned.
type RemoteError struct {
	Message string `msgpack:"m"`
}

// Error returns the handler's message.
func (e *RemoteError) Error() string { return e.Message }
