package roles

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// noopMessenger is a peer.Messenger that drops one-way messages and fails every call.
type noopMessenger struct{ self core.NodeID }

func newNoopMessenger(self core.NodeID) peer.Messenger { return noopMessenger{self} }

// Self implements peer.Messenger.
func (s noopMessenger) Self() core.NodeID { return s.self }

// Handle implements peer.Messenger.
func (noopMessenger) Handle(string, peer.Handler) {}

// Call implements peer.Messenger.
func (noopMessenger) Call(context.Context, core.NodeID, string, any, any) error {
	return peer.ErrUnavailable
}

// Send implements peer.Messenger.
func (noopMessenger) Send(core.NodeID, string, any) error { return nil }

// noopNetwork is a membership.Network that delivers no messages.
type noopNetwork struct{ peer.Messenger }

// SetAddress implements membership.Network.
func (*noopNetwork) SetAddress(core.NodeID, string) {}

// Forget implements membership.Network.
func (*noopNetwork) Forget(core.NodeID) {}
