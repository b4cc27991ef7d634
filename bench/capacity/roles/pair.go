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

// pair is a holder of reservations and the owner of all replicas, connected over
// loopback.
type pair struct {
	holderTransport, ownerTransport *peer.Transport
	owner                           *owner.Service
	dispatcher                      *dispatch.Dispatcher
	view                            *directory.View
}

// newPair returns a pair with the given number of replicas of one deployment. Its
// connection is open.
func newPair(replicas, slots int) (*pair, error) {
	log := slog.New(slog.DiscardHandler)
	snapshot := cluster.Settings()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pair{holderTransport: peer.New(cluster.NodeID(0, 0), log), ownerTransport: peer.New(cluster.NodeID(0, 1), log)}
	members := membership.NewView(cluster.NodeID(0, 0), []membership.Member{
		{ID: cluster.NodeID(0, 1), DataCentre: cluster.DataCentreID(0), State: membership.StateLive, Incarnation: 1}})
	list := make([]directory.Replica, replicas)
	for i := range list {
		list[i] = directory.Replica{ID: core.ReplicaID(fmt.Sprintf("model-0-%s-%03d", cluster.DataCentreID(0), i)),
			Deployment: "model-0", DataCentre: cluster.DataCentreID(0), Region: cluster.Region, Slots: slots, Address: "a"}
	}
	p.view = directory.NewView(list)
	current := func() *directory.View { return p.view }
	views := func() *membership.View { return members }
	p.owner = owner.NewService(owner.Options{Members: views, Replicas: current, Settings: func() *settings.Snapshot { return snapshot },
		Messenger: p.ownerTransport, Now: time.Now})
	p.dispatcher = dispatch.New(dispatch.Options{DataCentre: cluster.DataCentreID(0), Region: cluster.Region, Members: views,
		Replicas: current, Settings: func() *settings.Snapshot { return snapshot }, Messenger: p.holderTransport, Now: time.Now, Seed: 1})
	p.ownerTransport.Start(listener)
	p.holderTransport.SetAddress(p.ownerTransport.Self(), listener.Addr().String())
	// The first call waits for the connection and may exceed its limit of 20 ms.
	for range 10 {
		if slot, refusal := p.dispatcher.Acquire(context.Background(), p.newRequest(core.ClassBatch, 0)); refusal == nil {
			slot.Release(dispatch.Observation{})
			return p, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.close()
	return nil, fmt.Errorf("no slot acquired in 10 attempts")
}

// newRequest returns a request of one of 580 organisations.
func (p *pair) newRequest(class core.Class, i int) dispatch.Request {
	return dispatch.Request{Deployment: "model-0", Class: class, Org: core.Org(fmt.Sprintf("org-%03d", i%580)),
		ExpectedTokens: 450, Deadline: time.Now().Add(30 * time.Second)}
}

// acquire acquires n slots.
func (p *pair) acquire(n int, class core.Class) ([]dispatch.Slot, error) {
	slots := make([]dispatch.Slot, n)
	for i := range slots {
		slot, refusal := p.dispatcher.Acquire(context.Background(), p.newRequest(class, i))
		if refusal != nil {
			return nil, refusal
		}
		slots[i] = slot
	}
	return slots, nil
}

// sent returns the bytes that holder and owner have sent.
func (p *pair) sent() float64 { return p.transports().sent() }

// awaitQuiescence waits until no more messages are sent, so that one-way messages
// have been handled.
func (p *pair) awaitQuiescence() {
	for last := -1.0; last != p.sent(); time.Sleep(20 * time.Millisecond) {
		last = p.sent()
	}
}

func (p *pair) close() { p.transports().close() }

func (p *pair) transports() transports { return transports{p.holderTransport, p.ownerTransport} }
