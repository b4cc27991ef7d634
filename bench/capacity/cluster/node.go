package cluster

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// Node runs the roles whose cost depends on the size of the fleet, wired as in
// package node.
type Node struct {
	Identity   membership.Identity
	Transport  *peer.Transport
	Members    *membership.Service
	Directory  *directory.Service
	Owner      *owner.Service
	Dispatcher *dispatch.Dispatcher

	listener net.Listener
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func newNode(id core.NodeID, dc core.DataCentre, o Options, current func() *settings.Snapshot) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.DiscardHandler)
	n := &Node{listener: listener, Transport: peer.New(id, log), Identity: membership.Identity{
		ID: id, DataCentre: dc, Region: Region, Address: listener.Addr().String(), Incarnation: time.Now().UnixNano()}}
	n.Members = membership.NewService(n.Identity, n.Transport, nil, membership.Hooks{
		SettingsVersion:  func() uint64 { return current().Version() },
		OwnStatus:        func() []byte { return n.Directory.OwnStatus() },
		DataCentreStatus: func() []byte { return n.Directory.DataCentreStatus() },
		OnStatus:         func(from core.NodeID, status []byte) { n.Directory.OnStatus(from, status) },
		OnView:           func(*membership.View) { n.Directory.Refresh(time.Now()); n.Dispatcher.OnViewChange() },
	}, log)
	n.Directory = directory.NewService(dc, Region, fixedProber{o.Slots}, current, n.Members.Current,
		func(id core.ReplicaID) directory.Counts { return n.Owner.Counts(id) }, log)
	n.Owner = owner.NewService(owner.Options{Members: n.Members.Current, Replicas: n.Directory.Current,
		Settings: current, Messenger: n.Transport, Now: time.Now})
	n.Dispatcher = dispatch.New(dispatch.Options{DataCentre: dc, Region: Region, Members: n.Members.Current,
		Replicas: n.Directory.Current, Settings: current, Messenger: n.Transport, Owner: n.Owner, Now: time.Now, Seed: 1})
	return n, nil
}

// start runs the roles until stop is called.
func (n *Node) start(nodes []membership.Member, replicas []infra.VM) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.Transport.Start(n.listener)
	n.Members.SetFleet(nodes, nil)
	n.Directory.SetFleet(replicas)
	for _, run := range []func(context.Context){n.Members.Run, n.Directory.Run, n.Owner.Run, n.Dispatcher.Run} {
		n.running.Go(func() { run(ctx) })
	}
}

func (n *Node) stop() {
	if n.cancel != nil {
		n.cancel()
		n.running.Wait()
	}
	n.Transport.Close()
}
