package roles

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/cluster"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/owner"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/settings"
)

// pair is a holder of reservations and the owner of all replicas, which talk
// over loopback.
type pair struct {
	holder, target *peer.Transport
	owner          *owner.Service
	dispatcher     *dispatch.Dispatcher
	view           *directory.View
}

// newPair returns a pair with replicas of one deployment in a data centre of
// 33 nodes.
func newPair(replicas, slots int) (*pair, error) {
	log := slog.New(slog.DiscardHandler)
	snapshot := cluster.Settings()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pair{holder: peer.New(cluster.NodeID(0, 0), log), target: peer.New(cluster.NodeID(0, 1), log)}
	members := membership.NewView(cluster.NodeID(0, 0), []membership.Member{
		{ID: cluster.NodeID(0, 1), DataCentre: cluster.Centre(0), State: membership.StateLive, Incarnation: 1}})
	list := make([]directory.Replica, replicas)
	for i := range list {
		list[i] = directory.Replica{ID: core.ReplicaID(fmt.Sprintf("model-0-%s-%03d", cluster.Centre(0), i)),
			Deployment: "model-0", DataCentre: cluster.Centre(0), Region: cluster.Region, Slots: slots, Address: "a"}
	}
	p.view = directory.NewView(list)
	current := func() *directory.View { return p.view }
	views := func() *membership.View { return members }
	p.owner = owner.NewService(owner.Options{Members: views, Replicas: current, Settings: func() *settings.Snapshot { return snapshot },
		Messenger: p.target, Now: time.Now})
	p.dispatcher = dispatch.New(dispatch.Options{DataCentre: cluster.Centre(0), Region: cluster.Region, Members: views,
		Replicas: current, Settings: func() *settings.Snapshot { return snapshot }, Messenger: p.holder, Now: time.Now, Seed: 1})
	p.target.Start(listener)
	p.holder.SetAddress(p.target.Self(), listener.Addr().String())
	// The first call waits for the connection and may miss its 20 ms.
	for range 10 {
		if slot, refusal := p.dispatcher.Acquire(context.Background(), p.ask(core.ClassBatch, 0)); refusal == nil {
			slot.Release(dispatch.Observation{})
			return p, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.close()
	return nil, fmt.Errorf("no slot within the tries")
}

func (p *pair) ask(class core.Class, i int) dispatch.Request {
	return dispatch.Request{Deployment: "model-0", Class: class, Org: core.Org(fmt.Sprintf("org-%03d", i%580)),
		ExpectedTokens: 450, Deadline: time.Now().Add(30 * time.Second)}
}

// hold acquires n slots.
func (p *pair) hold(n int, class core.Class) ([]dispatch.Slot, error) {
	slots := make([]dispatch.Slot, n)
	for i := range slots {
		slot, refusal := p.dispatcher.Acquire(context.Background(), p.ask(class, i))
		if refusal != nil {
			return nil, refusal
		}
		slots[i] = slot
	}
	return slots, nil
}

// sent returns the bytes that both have sent.
func (p *pair) sent() float64 {
	a, _ := p.holder.Traffic()
	b, _ := p.target.Traffic()
	return float64(a + b)
}

// settle waits until one-way messages have been handled.
func (p *pair) settle() {
	for last := -1.0; last != p.sent(); time.Sleep(20 * time.Millisecond) {
		last = p.sent()
	}
}

func (p *pair) close() {
	p.holder.Close()
	p.target.Close()
}
