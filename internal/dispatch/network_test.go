package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

const (
	deployment = core.DeploymentID("verse-models")
	dataCentre = core.DataCentre("luzon-a")
	region     = core.Region("luzon")
	latency    = time.Millisecond
)

// network connects the nodes of a test within the process. Tests control which
// messages are lost.
type network struct {
	mu    sync.Mutex
	nodes map[core.NodeID]*node
	drop  func(from, to core.NodeID, kind string) bool
	// running counts the goroutines of the nodes and the messages in flight.
	running sync.WaitGroup
}

// node is an owner service and a dispatcher. It implements peer.Messenger.
type node struct {
	id       core.NodeID
	net      *network
	handlers map[string]peer.Handler
	members  atomic.Pointer[membership.View]
	replicas atomic.Pointer[directory.View]
	settings atomic.Pointer[settings.Snapshot]
	owner    *owner.Service
	*Dispatcher
}

// startNodes starts nodes whose views contain all nodes and replicas.
func startNodes(t *testing.T, d settings.Deployment, replicas []directory.Replica, ids ...core.NodeID) *network {
	t.Helper()
	n := &network{nodes: make(map[core.NodeID]*node)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); n.running.Wait() })
	d.ID, d.Kind = deployment, settings.KindModel
	for i, id := range ids {
		p := &node{id: id, net: n, handlers: make(map[string]peer.Handler)}
		p.members.Store(liveView(id, ids))
		p.replicas.Store(directory.NewView(replicas))
		p.settings.Store(settings.NewSnapshot(settings.SnapshotInput{Deployments: []settings.Deployment{d}}))
		p.owner = owner.NewService(owner.Options{
			Members: p.members.Load, Replicas: p.replicas.Load, Settings: p.settings.Load, Messenger: p, Now: time.Now,
		})
		p.Dispatcher = New(Options{
			DataCentre: dataCentre, Region: region, Members: p.members.Load, Replicas: p.replicas.Load,
			Settings: p.settings.Load, Messenger: p, Owner: p.owner, Now: time.Now, Seed: uint64(i),
		})
		n.nodes[id] = p
		n.running.Go(func() { p.owner.Run(ctx) })
		n.running.Go(func() { p.Dispatcher.Run(ctx) })
	}
	return n
}

// liveView returns a membership view in which the given nodes are live.
func liveView(self core.NodeID, live []core.NodeID) *membership.View {
	var members []membership.Member
	for _, id := range live {
		members = append(members, membership.Member{
			ID: id, DataCentre: dataCentre, Region: region, State: membership.StateLive, Incarnation: 1,
		})
	}
	return membership.NewView(self, members)
}

// setLive sets the membership views of all nodes.
func (n *network) setLive(live ...core.NodeID) {
	for id, p := range n.nodes {
		p.members.Store(liveView(id, live))
	}
}

// setDrop sets which messages are lost.
func (n *network) setDrop(drop func(from, to core.NodeID, kind string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

func (n *network) dropped(from, to core.NodeID, kind string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drop != nil && n.drop(from, to, kind)
}

// replicaOwnedBy returns a replica with an ID such that the node owns it when the
// given nodes are live.
func replicaOwnedBy(id core.NodeID, live ...core.NodeID) directory.Replica {
	for i := 0; ; i++ {
		name := core.ReplicaID(fmt.Sprintf("replica-%d", i))
		if got, _ := liveView(id, live).Owner(string(name), dataCentre); got == id {
			return directory.Replica{ID: name, Deployment: deployment, DataCentre: dataCentre, Region: region, Slots: 1}
		}
	}
}

func (p *node) Self() core.NodeID { return p.id }

func (p *node) Handle(kind string, h peer.Handler) { p.handlers[kind] = h }

func (p *node) Send(to core.NodeID, kind string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return err
	}
	p.net.running.Go(func() {
		time.Sleep(latency)
		if !p.net.dropped(p.id, to, kind) {
			_, _ = p.net.nodes[to].handlers[kind](context.Background(), p.id, body)
		}
	})
	return nil
}

func (p *node) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return err
	}
	response := make(chan []byte, 1)
	p.net.running.Go(func() {
		time.Sleep(latency)
		if p.net.dropped(p.id, to, kind) {
			return
		}
		b, err := p.net.nodes[to].handlers[kind](context.Background(), p.id, body)
		time.Sleep(latency)
		if err == nil && !p.net.dropped(to, p.id, kind) {
			response <- b
		}
	})
	select {
	case b := <-response:
		return msgpack.Unmarshal(b, resp)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load returns the load of a replica that the node owns, or a zero Load.
func (p *node) load(id core.ReplicaID) owner.Load {
	for _, l := range p.owner.Loads() {
		if l.Replica == id {
			return l
		}
	}
	return owner.Load{}
}
