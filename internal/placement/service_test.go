package placement

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

// settle bounds what takes milliseconds; it only ends a test that hangs.
const settle = 20 * time.Second

var testGroup = group{Service: "m", Count: 1}

// fleet is nodes in this process that talk over loopback.
type fleet struct {
	*gomega.WithT
	t     *testing.T
	rows  *infratest.Rows
	nodes map[core.NodeID]*fleetNode
}

type fleetNode struct {
	*Service
	registry  *replica.Registry
	transport *peer.Transport
}

func newFleet(t *testing.T, replicas []replica.Info, ids ...core.NodeID) *fleet {
	t.Parallel()
	f := &fleet{WithT: gomega.NewWithT(t), t: t, rows: infratest.NewRows(), nodes: make(map[core.NodeID]*fleetNode)}
	for _, id := range ids {
		f.start(id, replicas)
	}
	for _, n := range f.nodes {
		f.Eventually(func() int { n.follow(); return len(n.electable.Load().records) }, settle, "10ms").Should(gomega.Equal(len(ids)))
	}
	return f
}

func (f *fleet) start(id core.NodeID, replicas []replica.Info) {
	log := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	directory := nodes.NewDirectory(f.rows, nodes.Record{
		ID: id, Lifetime: "1", Address: listener.Addr().String(), DataCentre: "dc-a", Processor: 1,
	}, log)
	n := &fleetNode{registry: replica.NewRegistry(), transport: peer.New(id, log)}
	for _, info := range replicas {
		n.registry.Put(info)
	}
	n.Service = New(Options{
		Transport: n.transport, Registry: n.registry, Nodes: directory, Log: log,
		Yield: func(*replica.Replica) bool { return false },
	})
	n.transport.Start(listener)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); n.transport.Close() })
	go directory.Run(ctx)
	go n.Run(ctx)
	f.nodes[id] = n
}

// place asks for a replica in the background.
func (f *fleet) place(ctx context.Context, node core.NodeID) <-chan *replica.Replica {
	out := make(chan *replica.Replica, 1)
	go func() {
		r, _ := f.nodes[node].Place(ctx, &Query{
			Service: "m", Arrived: time.Now(), Objective: testObjective, Patience: time.Hour,
		})
		out <- r
	}()
	return out
}

// hub returns the node that all ask first.
func (f *fleet) hub() core.NodeID {
	for _, n := range f.nodes {
		return n.electable.Load().hubs(testGroup)[0]
	}
	return ""
}

// waiting returns the number of requests that wait at the hub.
func (h *hub) waiting(g group) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.pools[g].waiting)
}

func oneReplica(slots int) []replica.Info {
	return []replica.Info{{ID: "r", Service: "m", Address: "127.0.0.1:1", DataCentre: "dc-a", Slots: slots}}
}

// Guards against nodes that use more slots together than there are, and against
// a request that waits on after a slot was freed at another node.
func TestNodesShareSlots(t *testing.T) {
	f := newFleet(t, oneReplica(2), "a", "b", "c")
	first, second := <-f.place(t.Context(), "a"), <-f.place(t.Context(), "b")
	f.Expect(first).NotTo(gomega.BeNil())
	f.Expect(second).NotTo(gomega.BeNil())
	waits := f.place(t.Context(), "c")
	f.Consistently(waits, "400ms").ShouldNot(gomega.Receive()) // longer than maxSilence
	first.End(core.ClassOnline)
	f.Eventually(waits, settle).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}

// Guards against a caller that left and still takes the next free slot.
func TestCallerThatLeavesTakesNoSlot(t *testing.T) {
	f := newFleet(t, oneReplica(1), "a", "b")
	held := <-f.place(t.Context(), "a")
	leaver, leave := context.WithCancel(t.Context())
	left := f.place(leaver, "b")
	f.Consistently(left, "50ms").ShouldNot(gomega.Receive())
	leave()
	f.Eventually(left, settle).Should(gomega.Receive(gomega.BeNil()))
	f.Eventually(func() int { return f.nodes[f.hub()].hub.waiting(testGroup) }, settle, "5ms").Should(gomega.Equal(0))
	stays := f.place(t.Context(), "b")
	held.End(core.ClassOnline)
	f.Eventually(stays, settle).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}

// Guards against requests that fail or hang because the node that places them
// is gone, stands still or stops.
func TestRequestsOutliveTheirHub(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b", "c")
	hub := f.hub()
	other := f.nodes[[]core.NodeID{"a", "b", "c"}[(slices.Index([]core.NodeID{"a", "b", "c"}, hub)+1)%3]]
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.nodes[hub].Stop()
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.Expect(other.usable(testGroup)).NotTo(gomega.ContainElement(hub))
	f.nodes[hub].transport.Close()
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	for _, n := range f.nodes { // no node answers any more
		n.transport.Block(func(core.NodeID) bool { return true })
		n.Stop()
	}
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
}

// Guards against items of one look at the pending ones that all go to the same
// replica of a node that reaches no hub: a job of sixteen items at once, on
// replicas with eight slots.
func TestItemsPlacedAloneSpread(t *testing.T) {
	replicas := []replica.Info{
		{ID: "r1", Service: "m", DataCentre: "dc-a", Slots: 8}, {ID: "r2", Service: "m", DataCentre: "dc-a", Slots: 8},
	}
	f := newFleet(t, replicas, "a")
	f.nodes["a"].Stop()
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			f.nodes["a"].Place(t.Context(), &Query{Service: "m", Class: core.ClassBatch, Arrived: time.Now(), Patience: settle})
		})
	}
	wait.Wait()
	for _, r := range f.nodes["a"].registry.All() {
		_, batch := r.Own()
		f.Expect(batch).To(gomega.Equal(8 - itemRoom + 1))
	}
}

// Guards against a hub that is never asked again after it did not answer once,
// and against requests that pay for finding out whether it is back.
func TestHubThatIsBackIsAskedAgain(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b")
	hub := f.hub()
	other := f.nodes[map[core.NodeID]core.NodeID{"a": "b", "b": "a"}[hub]]
	cut := func(id core.NodeID) bool { return id == hub }
	other.transport.Block(cut)
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.Expect(other.usable(testGroup)).NotTo(gomega.ContainElement(hub))
	f.Consistently(func() []core.NodeID { return other.usable(testGroup) }, "700ms").ShouldNot(gomega.ContainElement(hub))
	other.transport.Block(nil)
	f.Eventually(func() []core.NodeID { return other.usable(testGroup) }, settle).Should(gomega.ContainElement(hub))
}

// Guards against a node that is restarted and gets the grants or the place in
// the queue of its former run, as both count their questions.
func TestQuestionsOfTwoRunsDiffer(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b")
	f.Expect(f.nodes["a"].asks.Load()).NotTo(gomega.Equal(f.nodes["b"].asks.Load()))
}

// Guards against a grant that is never confirmed, so that its slot counts twice
// for a second: a node without other work forgot the group while its request
// waited for longer than maxSilence. A plain service with few replicas then
// loses most of its slots as soon as requests wait.
func TestGrantAfterALongWaitIsConfirmed(t *testing.T) {
	f := newFleet(t, oneReplica(1), "a", "b")
	held := <-f.place(t.Context(), "a")
	waits := f.place(t.Context(), "b")
	f.Consistently(waits, "1s").ShouldNot(gomega.Receive()) // several times maxSilence
	n := f.nodes["b"]
	n.mu.Lock()
	told := n.tellings[testGroup] != nil
	n.mu.Unlock()
	f.Expect(told).To(gomega.BeTrue())
	held.End(core.ClassOnline)
	f.Eventually(waits, settle).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}
