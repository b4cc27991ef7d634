package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

// decisionTime is longer than a hub takes from the third crash to a decision that all
// nodes know.
const decisionTime = observationTime + time.Second

// testFleet are services whose messages go from one to another without a network.
type testFleet struct {
	*gomega.WithT
	services map[core.NodeID]*Service
	view     nodes.View
	store    fakeStore
	mu       sync.Mutex
	down     map[core.NodeID]bool // no other node reaches them
	excluded map[core.NodeID]bool // found to be down
	crashes  int
	replicas []replica.Info // those that each process knows from its start
}

// fakeMessenger is one node's messenger.
type fakeMessenger struct {
	fleet    *testFleet
	self     core.NodeID
	handlers map[string]peer.Handler
}

func (m *fakeMessenger) Self() core.NodeID                        { return m.self }
func (m *fakeMessenger) Handle(kind string, handler peer.Handler) { m.handlers[kind] = handler }
func (m *fakeMessenger) Send(core.NodeID, string, any) error      { return peer.ErrUnavailable }

func (m *fakeMessenger) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	m.fleet.mu.Lock()
	target := m.fleet.services[to]
	killed := m.fleet.services[m.self].Messenger != m // and started again
	unreachable := killed || to != m.self && (m.fleet.down[to] || m.fleet.down[m.self])
	m.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return peer.ErrUnavailable
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return err
	}
	out, err := target.Messenger.(*fakeMessenger).handlers[kind](ctx, m.self, body)
	if err != nil || resp == nil {
		return err
	}
	return msgpack.Unmarshal(out, resp)
}

// newTestFleet returns a fleet of n nodes n0, n1 and so on, of which the first two are
// hubs.
func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{
		WithT: gomega.NewWithT(t), services: make(map[core.NodeID]*Service), down: make(map[core.NodeID]bool), excluded: make(map[core.NodeID]bool),
		view: nodes.View{Alive: make(map[string]nodes.Record)},
	}
	for i := range n {
		id := core.NodeID(fmt.Sprintf("n%d", i))
		record := nodes.Record{ID: id, Lifetime: "1"}
		f.view.Alive[record.Owner()] = record
		f.start(id)
	}
	return f
}

// start starts a node, in place of a former process of it.
func (f *testFleet) start(id core.NodeID) {
	s := New(Options{
		Messenger: &fakeMessenger{fleet: f, self: id, handlers: make(map[string]peer.Handler)},
		Hubs:      func(core.DeploymentID) []core.NodeID { return f.hubs() }, View: func() *nodes.View { return &f.view },
		Persist: func() { go f.renew(id) }, Registry: replica.NewRegistry(), Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	for i := range f.replicas {
		s.Registry.Put(f.replicas[i])
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[id] = s
}

// hubs returns the first two nodes that nobody has found to be down.
func (f *testFleet) hubs() []core.NodeID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []core.NodeID
	for i := 0; i < len(f.view.Alive) && len(out) < 2; i++ {
		if id := f.node(i); !f.excluded[id] {
			out = append(out, id)
		}
	}
	return out
}

// crash reports the crash of a further replica from a node, and lets 200 ms pass.
func (f *testFleet) crash(at core.NodeID, parts ...Part) {
	f.reportCrash(at, parts...)
	time.Sleep(200 * time.Millisecond)
}

// reportCrash reports the crash of a further replica from a node.
func (f *testFleet) reportCrash(at core.NodeID, parts ...Part) {
	f.crashes++
	f.service(at).sendReport(&report{Service: "m", Replica: core.ReplicaID(fmt.Sprintf("i-%d", f.crashes)), Parts: parts})
}

// node returns the ID of the n-th node, counted on from the first after the last.
func (f *testFleet) node(n int) core.NodeID {
	return core.NodeID(fmt.Sprintf("n%d", n%len(f.view.Alive)))
}

// service returns the present process of a node.
func (f *testFleet) service(id core.NodeID) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[id]
}

// harmless lets a run with the parts prove harmless at a node.
func (f *testFleet) harmless(at core.NodeID, parts ...Part) {
	f.service(at).proofs.add(parts, time.Now())
}

func (f *testFleet) blocked(at core.NodeID, part Part) bool {
	_, blocked := f.service(at).Blocked([]Part{"f", part})
	return blocked
}
