package settings

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// faultyTable is an in-memory table with two injected faults: stale reads, which
// return an earlier row, and delayed commits, which return
// infra.ErrOutcomeUnknown and are executed later.
type faultyTable struct {
	*infratest.Table
	mu           sync.Mutex
	rnd          *rand.Rand
	staleReads   bool
	delayCommits bool
	lastRead     map[string]infra.Row
	background   sync.WaitGroup
}

func newFaultyTable() *faultyTable {
	t := &faultyTable{Table: infratest.NewTable(), rnd: rand.New(rand.NewPCG(1, 2)), lastRead: make(map[string]infra.Row)}
	t.Seed(7)
	return t
}

func (t *faultyTable) setFaults(staleReads, delayCommits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.staleReads, t.delayCommits = staleReads, delayCommits
}

func (t *faultyTable) Get(ctx context.Context, key string) (infra.Row, error) {
	row, err := t.Table.Get(ctx, key)
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.lastRead[key]; ok && t.staleReads && t.rnd.IntN(2) == 0 {
		if old.Version == 0 {
			return infra.Row{}, infra.ErrNotFound
		}
		return old, nil
	}
	if err == nil || errors.Is(err, infra.ErrNotFound) {
		t.lastRead[key] = row
	}
	return row, err
}

func (t *faultyTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	t.mu.Lock()
	delayCommits := t.delayCommits && t.rnd.IntN(2) == 0
	t.mu.Unlock()
	if !delayCommits {
		return t.Table.Commit(ctx, txn)
	}
	t.background.Go(func() {
		time.Sleep(700 * time.Millisecond)
		_, _ = t.Table.Commit(context.Background(), txn)
	})
	return nil, infra.ErrOutcomeUnknown
}

// cluster runs several managers that share one table and exchange messages and
// heartbeats in memory. Violations that its callbacks detect are collected in
// failures.
type cluster struct {
	table      *faultyTable
	limits     limits
	mu         sync.Mutex
	nodes      map[core.NodeID]*testNode
	order      []core.NodeID
	isolated   map[core.NodeID]bool
	failures   []string
	background sync.WaitGroup
}

type testNode struct {
	cluster  *cluster
	id       core.NodeID
	handlers map[string]peer.Handler
	manager  *Manager
	stop     context.CancelFunc
	done     chan struct{}
}

func newCluster(n int, l limits) *cluster {
	c := &cluster{limits: l, table: newFaultyTable(), nodes: make(map[core.NodeID]*testNode), isolated: make(map[core.NodeID]bool)}
	for i := range n {
		id := core.NodeID(fmt.Sprintf("node-%d", i))
		c.order = append(c.order, id)
	}
	for _, id := range c.order {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id core.NodeID) {
	n := &testNode{cluster: c, id: id, handlers: make(map[string]peer.Handler), done: make(chan struct{})}
	n.manager = NewManager(Options{Table: c.table, Messenger: n, View: n.view, DataCentre: "dc-1",
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	n.manager.limits, n.manager.store.scanPageRows = c.limits, c.limits.scanPageRows
	last := uint64(0)
	n.manager.Subscribe(func(s *Snapshot) {
		if s.Version() < last || s.Version() == last && last != 0 {
			c.failf("%s: snapshot version %d was followed by %d", id, last, s.Version())
		}
		last = s.Version()
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	go func() { defer close(n.done); n.manager.Run(ctx) }()
	c.background.Go(func() { n.heartbeats(ctx) })
}

// failf records a violation of an expectation.
func (c *cluster) failf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *cluster) node(id core.NodeID) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

func (c *cluster) restart(id core.NodeID) {
	n := c.node(id)
	n.stop()
	<-n.done
	c.start(id)
}

func (c *cluster) close() {
	for _, id := range c.order {
		c.node(id).stop()
		<-c.node(id).done
	}
	c.background.Wait()
	c.table.background.Wait()
}

func (c *cluster) isolate(id core.NodeID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

func (c *cluster) connected(a, b core.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a == b || !c.isolated[a] && !c.isolated[b]
}

func (n *testNode) heartbeats(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, other := range n.cluster.order {
			if other != n.id && n.cluster.connected(n.id, other) {
				n.cluster.node(other).manager.OnPeerVersion(n.id, n.manager.Current().Version())
			}
		}
	}
}

func (n *testNode) view() *membership.View {
	var members []membership.Member
	for _, id := range n.cluster.order {
		if n.cluster.connected(n.id, id) {
			members = append(members, membership.Member{ID: id, DataCentre: "dc-1", State: membership.StateLive})
		}
	}
	return membership.NewView(n.id, members)
}

// Self implements peer.Messenger.
func (n *testNode) Self() core.NodeID { return n.id }

// Handle implements peer.Messenger.
func (n *testNode) Handle(kind string, handler peer.Handler) { n.handlers[kind] = handler }

// Call implements peer.Messenger.
func (n *testNode) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	if !n.cluster.connected(n.id, to) {
		return peer.ErrUnavailable
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return err
	}
	response, err := n.cluster.node(to).handlers[kind](ctx, n.id, body)
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	if len(response) > n.cluster.limits.maxChunkBytes+16<<10 {
		n.cluster.failf("message of %d bytes exceeds the chunk limit", len(response))
	}
	return msgpack.Unmarshal(response, resp)
}

// Send implements peer.Messenger.
func (n *testNode) Send(to core.NodeID, kind string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil || !n.cluster.connected(n.id, to) {
		return peer.ErrUnavailable
	}
	n.cluster.background.Go(func() {
		time.Sleep(time.Millisecond)
		_, _ = n.cluster.node(to).handlers[kind](context.Background(), n.id, body)
	})
	return nil
}
