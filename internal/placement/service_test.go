package placement

import (
	"context"
	"fmt"
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

// testTimeout bounds operations that take milliseconds, so that a test that
// hangs fails.
const testTimeout = 20 * time.Second

var testGroup = group{Service: "m", Count: 1}

// fleet is a set of nodes in this process that communicate over loopback.
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
		f.Eventually(func() int { n.updateNodes(); return len(n.candidates.Load().records) }, testTimeout, "10ms").Should(gomega.Equal(len(ids)))
	}
	return f
}

func (f *fleet) start(id core.NodeID, replicas []replica.Info) {
	log := slog.New(slog.DiscardHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	directory := nodes.NewDirectory(f.rows, nodes.Record{
		ID: id, Lifetime: "1", Address: listener.Addr().String(), DataCentre: "dc-a", CPUCores: 1,
	}, log)
	n := &fleetNode{registry: replica.NewRegistry(), transport: peer.New(id, log)}
	n.transport.ContainPanics()
	for _, info := range replicas {
		n.registry.Put(info)
	}
	n.Service = New(Options{
		Transport: n.transport, Registry: n.registry, Nodes: directory, Log: log,
		Preempt: func(*replica.Replica) bool { return false },
		Victims: func() map[core.ReplicaID]Victim { return nil },
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
			Service: "m", Arrived: time.Now(), Objective: testObjective, MaxWait: time.Hour,
		})
		out <- r
	}()
	return out
}

// hub returns the first hub of testGroup.
func (f *fleet) hub() core.NodeID {
	for _, n := range f.nodes {
		return n.candidates.Load().hubs(testGroup)[0]
	}
	return ""
}

// queueLength returns the number of requests that are queued at the hub.
func (h *hub) queueLength(g group) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.groups[g].queue)
}

func oneReplica(slots int) []replica.Info {
	return []replica.Info{{ID: "r", Service: "m", Address: "127.0.0.1:1", DataCentre: "dc-a", Slots: slots}}
}

// Guards against nodes that together use more slots than there are, and against
// a request that stays queued after another node has freed a slot.
func TestNodesShareSlots(t *testing.T) {
	f := newFleet(t, oneReplica(2), "a", "b", "c")
	first, second := <-f.place(t.Context(), "a"), <-f.place(t.Context(), "b")
	f.Expect(first).NotTo(gomega.BeNil())
	f.Expect(second).NotTo(gomega.BeNil())
	waits := f.place(t.Context(), "c")
	f.Consistently(waits, "400ms").ShouldNot(gomega.Receive()) // longer than maxCountsInterval
	first.End(core.ClassOnline)
	f.Eventually(waits, testTimeout).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}

// Guards against a cancelled request that still takes the next free slot.
func TestCancelledRequestTakesNoSlot(t *testing.T) {
	f := newFleet(t, oneReplica(1), "a", "b")
	held := <-f.place(t.Context(), "a")
	callerCtx, cancelCaller := context.WithCancel(t.Context())
	cancelled := f.place(callerCtx, "b")
	f.Consistently(cancelled, "50ms").ShouldNot(gomega.Receive())
	cancelCaller()
	f.Eventually(cancelled, testTimeout).Should(gomega.Receive(gomega.BeNil()))
	f.Eventually(func() int { return f.nodes[f.hub()].hub.queueLength(testGroup) }, testTimeout, "5ms").Should(gomega.Equal(0))
	second := f.place(t.Context(), "b")
	held.End(core.ClassOnline)
	f.Eventually(second, testTimeout).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}

// Guards against requests that fail or hang because their hub has crashed,
// hangs or is stopping.
func TestRequestsSurviveHubFailure(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b", "c")
	hub := f.hub()
	other := f.nodes[[]core.NodeID{"a", "b", "c"}[(slices.Index([]core.NodeID{"a", "b", "c"}, hub)+1)%3]]
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.nodes[hub].Stop(f.t.Context())
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.Expect(other.usableHubs(testGroup)).NotTo(gomega.ContainElement(hub))
	f.nodes[hub].transport.Close()
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	for _, n := range f.nodes { // no hub answers any more
		n.transport.Block(func(core.NodeID) bool { return true })
		n.Stop(f.t.Context())
	}
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
}

// Guards against items that are placed concurrently and all go to the same
// replica, because the node reaches no hub: 16 items of a job at once, with two
// replicas of 8 slots.
func TestItemsPlacedWithoutHubAreSpread(t *testing.T) {
	replicas := []replica.Info{
		{ID: "r1", Service: "m", DataCentre: "dc-a", Slots: 8}, {ID: "r2", Service: "m", DataCentre: "dc-a", Slots: 8},
	}
	f := newFleet(t, replicas, "a")
	f.nodes["a"].Stop(f.t.Context())
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			f.nodes["a"].Place(t.Context(), &Query{Service: "m", Class: core.ClassBatch, Arrived: time.Now(), MaxWait: testTimeout})
		})
	}
	wait.Wait()
	for _, r := range f.nodes["a"].registry.All() {
		_, batch := r.LocalLoad()
		f.Expect(batch).To(gomega.Equal(8 - itemMinFreeSlots + 1))
	}
}

// Guards against a hub that is never used again after one failed call, and
// against requests that wait for a timeout to find out whether it is back.
func TestRecoveredHubIsUsedAgain(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b")
	hub := f.hub()
	other := f.nodes[map[core.NodeID]core.NodeID{"a": "b", "b": "a"}[hub]]
	isHub := func(id core.NodeID) bool { return id == hub }
	other.transport.Block(isHub)
	f.Expect(<-f.place(t.Context(), other.Transport.Self())).NotTo(gomega.BeNil())
	f.Expect(other.usableHubs(testGroup)).NotTo(gomega.ContainElement(hub))
	f.Consistently(func() []core.NodeID { return other.usableHubs(testGroup) }, "700ms").ShouldNot(gomega.ContainElement(hub))
	other.transport.Block(nil)
	f.Eventually(func() []core.NodeID { return other.usableHubs(testGroup) }, testTimeout).Should(gomega.ContainElement(hub))
}

// Guards against a restarted node that gets the grants or queue positions of
// its earlier run, because both number their requests from the same start.
func TestRequestIDsDifferBetweenRuns(t *testing.T) {
	f := newFleet(t, oneReplica(4), "a", "b")
	f.Expect(f.nodes["a"].lastRequestID.Load()).NotTo(gomega.Equal(f.nodes["b"].lastRequestID.Load()))
}

// Guards against a grant that is never confirmed, so that its slot is counted
// twice for a second. This happened when a node without other work dropped its
// state of a group while its request was queued for longer than
// maxCountsInterval. A service with few replicas then loses most of its slots
// as soon as requests are queued.
func TestGrantAfterLongWaitIsConfirmed(t *testing.T) {
	f := newFleet(t, oneReplica(1), "a", "b")
	held := <-f.place(t.Context(), "a")
	waits := f.place(t.Context(), "b")
	f.Consistently(waits, "1s").ShouldNot(gomega.Receive()) // several times maxCountsInterval
	n := f.nodes["b"]
	n.mu.Lock()
	reported := n.sentCounts[testGroup] != nil
	n.mu.Unlock()
	f.Expect(reported).To(gomega.BeTrue())
	held.End(core.ClassOnline)
	f.Eventually(waits, testTimeout).Should(gomega.Receive(gomega.Not(gomega.BeNil())))
}

// Guards against two hubs while the store is away: nodes that read the table before
// another one wrote itself into it do not know that one, and those that read it
// afterwards use it as the hub. They must tell each other.
func TestNodesLearnOfAHubThatTheyCannotReadOf(t *testing.T) {
	f := newFleet(t, oneReplica(2), "a", "b")
	first := core.NodeID("")
	for i := 0; first == ""; i++ { // an ID that ranks before a and b
		r := nodes.Record{ID: core.NodeID(fmt.Sprintf("c%d", i)), Lifetime: "1", Address: "127.0.0.1:1", DataCentre: "dc-a", CPUCores: 1}
		view := &nodes.View{Alive: map[string]nodes.Record{r.Owner(): r}, Lapsed: map[string]nodes.Record{}}
		for _, other := range f.nodes["a"].Nodes.View().Records() {
			view.Alive[other.Owner()] = other
		}
		if newHubCandidates(view, r).hubs(testGroup)[0] == r.ID {
			first = r.ID
		}
	}
	f.start(first, oneReplica(2))
	f.Eventually(func() int { return len(f.nodes[first].Nodes.View().Alive) }, testTimeout, "1ms").Should(gomega.Equal(3))
	f.rows.SetFaultPlan(infratest.FaultPlan{Down: true})
	r := <-f.place(t.Context(), first)
	f.Expect(r).NotTo(gomega.BeNil())
	r.End(core.ClassOnline)
	for _, id := range []core.NodeID{"a", "b"} {
		n := f.nodes[id]
		f.Eventually(func() core.NodeID {
			if r := <-f.place(t.Context(), id); r != nil {
				r.End(core.ClassOnline)
			}
			return n.candidates.Load().hubs(testGroup)[0]
		}, testTimeout, "10ms").Should(gomega.Equal(first), string(id))
	}
}
