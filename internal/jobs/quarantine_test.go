package jobs

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/quarantine"
)

// loneMessenger is the messenger of a node that reaches no other one.
type loneMessenger struct{}

func (loneMessenger) Self() core.NodeID                   { return "a" }
func (loneMessenger) Handle(string, peer.Handler)         {}
func (loneMessenger) Send(core.NodeID, string, any) error { return peer.ErrUnavailable }
func (loneMessenger) Call(context.Context, core.NodeID, string, any, any) error {
	return peer.ErrUnavailable
}

// newTestQuarantine returns the quarantine of a lone node. It quarantines nothing by
// itself, as it gets no answer from its own witness.
func newTestQuarantine() *quarantine.Service {
	return quarantine.New(quarantine.Options{
		Messenger: loneMessenger{}, Hubs: func(core.DeploymentID) []core.NodeID { return nil }, View: func() *nodes.View { return &nodes.View{} },
		Persist: func() {}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
}
