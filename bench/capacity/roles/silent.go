package roles

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// silent is a messenger whose messages go nowhere.
type silent struct{ self core.NodeID }

func newSilent(self core.NodeID) peer.Messenger { return silent{self} }

// Self implements peer.Messenger.
func (s silent) Self() core.NodeID { return s.self }

// Handle implements peer.Messenger.
func (silent) Handle(string, peer.Handler) {}

// Call implements peer.Messenger.
func (silent) Call(context.Context, core.NodeID, string, any, any) error { return peer.ErrUnavailable }

// Send implements peer.Messenger.
func (silent) Send(core.NodeID, string, any) error { return nil }

// quietNetwork is a membership.Network whose messages go nowhere.
type quietNetwork struct{ peer.Messenger }

// SetAddress implements membership.Network.
func (*quietNetwork) SetAddress(core.NodeID, string) {}

// Forget implements membership.Network.
func (*quietNetwork) Forget(core.NodeID) {}
