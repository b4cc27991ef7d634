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

// network connects the nodes of one test in this process, with commanded loss.
type network struct {
	mu    sync.Mutex
	nodes map[core.NodeID]*node
	drop  func(from, to core.NodeID, kind string) bool
	// running counts the goroutines of the nodes and the messages on their way.
	running sync.WaitGroup
}

// node is one process: an owner service and a dispatcher over a fake messenger.
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

// start runs nodes that all see each other and the replicas.
func start(t *testing.T, service settings.Deployment, replicas []directory.Replica, ids ...core.NodeID) *network {
	t.Helper()
	n := &network{nodes: make(map[core.NodeID]*node)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); n.running.Wait() })
	service.ID, service.Kind = deployment, settings.KindModel
	for i, id := range ids {
		p := &node{id: id, net: n, handlers: make(map[string]peer.Handler)}
		p.members.Store(view(id, ids))
		p.replicas.Store(directory.NewView(replicas))
		p.settings.Store(settings.NewSnapshot(settings.SnapshotInput{Deployments: []settings.Deployment{service}}))
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

// view returns a view in which the given nodes are live.
func view(self core.NodeID, live []core.NodeID) *membership.View {
	var members []membership.Member
	for _, id := range live {
		members = append(members, membership.Member{
			ID: id, DataCentre: dataCentre, Region: region, State: membership.StateLive, Incarnation: 1,
		})
	}
	return membership.NewView(self, members)
}

// setLive changes the views of all nodes.
func (n *network) setLive(live ...core.NodeID) {
	for id, p := range n.nodes {
		p.members.Store(view(id, live))
	}
}

// setDrop sets which messages are lost.
func (n *network) setDrop(drop func(from, to core.NodeID, kind string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

func (n *network) lost(from, to core.NodeID, kind string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drop != nil && n.drop(from, to, kind)
}

// ownedBy returns an id of a replica that the node owns when the given nodes
// are live.
func ownedBy(id core.NodeID, live ...core.NodeID) directory.Replica {
	for i := 0; ; i++ {
		name := core.ReplicaID(fmt.Sprintf("replica-%d", i))
		if got, _ := view(id, live).Owner(string(name), dataCentre); got == id {
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
		if !p.net.lost(p.id, to, kind) {
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
	answer := make(chan []byte, 1)
	p.net.running.Go(func() {
		time.Sleep(latency)
		if p.net.lost(p.id, to, kind) {
			return
		}
		b, err := p.net.nodes[to].handlers[kind](context.Background(), p.id, body)
		time.Sleep(latency)
		if err == nil && !p.net.lost(to, p.id, kind) {
			answer <- b
		}
	})
	select {
	case b := <-answer:
		return msgpack.Unmarshal(b, resp)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load returns the node's ledger load of a replica that it owns.
func (p *node) load(id core.ReplicaID) owner.Load {
	for _, l := range p.owner.PublishedLoads() {
		if l.Replica == id {
			return l
		}
	}
	return owner.Load{}
}
