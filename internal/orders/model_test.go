package orders

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// faultyTable loses answers, is away, or lets writes take effect late.
type faultyTable struct {
	*infratest.Table
	mode string
	late []infra.Txn
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if t.mode == "away" {
		return nil, infra.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

func (t *faultyTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if t.mode == "away" || t.mode == "lost, no reads" {
		return infra.Row{}, infra.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *faultyTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	switch t.mode {
	case "away":
		return nil, infra.ErrUnavailable
	case "late":
		t.late = append(t.late, txn)
		return nil, infra.ErrOutcomeUnknown
	case "lost", "lost, no reads":
		if _, err := t.Table.Commit(ctx, txn); err != nil {
			return nil, err
		}
		return nil, infra.ErrOutcomeUnknown
	}
	return t.Table.Commit(ctx, txn)
}

// testNode is a node of the model; its calls run when the test says so.
type testNode struct {
	id      core.NodeID
	service *Service
	version int
	live    []core.NodeID
	paused  bool
	slow    bool // calls run at the node's next step
	calls   []func()
	reports map[core.ReplicaID]Report
}

func (n *testNode) run() {
	for len(n.calls) > 0 {
		call := n.calls[0]
		n.calls = n.calls[1:]
		call()
	}
}

func (n *testNode) members() *membership.View {
	var list []membership.Member
	for _, id := range n.live {
		list = append(list, membership.Member{ID: id, DataCentre: "dc", State: membership.StateLive})
	}
	return membership.NewView(n.id, list)
}

// world is the model: three nodes, four engines, one table.
type world struct {
	t        rapid.TB
	now      time.Time
	table    *faultyTable
	engines  map[core.ReplicaID]*testEngine
	view     *directory.View
	nodes    []*testNode
	versions []*settings.Snapshot // by version - 1
	orders   string               // what happens to orders
	late     []func()
	sends    int
}

var allNodes = []core.NodeID{"a", "b", "c"}

func newWorld(t rapid.TB, maxLoads int) *world {
	w := &world{t: t, now: t0, table: &faultyTable{Table: infratest.NewTable()}, engines: map[core.ReplicaID]*testEngine{}}
	w.change("v1", "decode")
	var replicas []directory.Replica
	for i := range 4 {
		id, deployment := core.ReplicaID(fmt.Sprint("r", i)), []core.DeploymentID{"honours", "ignores"}[i%2]
		w.engines[id] = &testEngine{honours: i%2 == 0, loading: map[string]time.Time{}}
		replicas = append(replicas, directory.Replica{ID: id, Deployment: deployment, DataCentre: "dc", Address: string(id)})
	}
	w.view = directory.NewView(replicas)
	cfg := Config{MaxLoads: maxLoads, LoadTimeout: 2 * time.Minute}
	for _, id := range allNodes {
		n := &testNode{id: id, version: 1, live: allNodes, reports: map[core.ReplicaID]Report{}}
		n.service = NewService(Options{
			Config: cfg, Members: n.members, Replicas: func() *directory.View { return w.view },
			Settings: func() *settings.Snapshot { return w.versions[n.version-1] },
			Engine:   func(address string) Engine { return wire{w, n, core.ReplicaID(address)} },
			Report:   func(id core.ReplicaID) Report { return n.reports[id] },
			Table:    w.table, Now: func() time.Time { return w.now }, Random: func() float64 { return 0.5 },
		})
		n.service.spawn = func(f func()) { n.calls = append(n.calls, f) }
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) change(version, role string) {
	base := settings.Deployment{Kind: settings.KindModel, Model: "m", ModelVersion: version, Role: role}
	honours, ignores := base, base
	honours.ID, honours.HonoursFencing, ignores.ID = "honours", true, "ignores"
	w.versions = append(w.versions, settings.NewSnapshot(settings.SnapshotInput{
		Version: uint64(len(w.versions) + 1), Deployments: []settings.Deployment{honours, ignores}}))
}

func (w *world) desired(id core.ReplicaID, version int) Desired {
	s := w.versions[version-1]
	return DesiredOf(s, s.Deployment(w.view.Replica(id).Deployment))
}

// step lets time pass for the nodes that are not paused.
func (w *world) step(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(500 * time.Millisecond)
		for _, n := range w.nodes {
			if n.paused {
				continue
			}
			n.run()
			for id, e := range w.engines {
				n.reports[id] = e.report(w.now)
			}
			n.service.tick(context.Background())
			if !n.slow {
				n.run()
			}
		}
	}
}

// wire carries a node's orders to an engine.
type wire struct {
	w  *world
	n  *testNode
	id core.ReplicaID
}

func (x wire) Order(_ context.Context, o backend.Order) error {
	w := x.w
	w.sends++
	x.check(o)
	execute := func() error { return w.engines[x.id].execute(o, w.now) }
	switch w.orders {
	case "unreachable":
		return backend.ErrUnreachable
	case "lost":
		return backend.ErrInterrupted
	case "late":
		w.late = append(w.late, func() { _ = execute() })
		return backend.ErrInterrupted
	case "answer lost":
		_ = execute()
		return backend.ErrInterrupted
	case "repeated":
		w.late = append(w.late, func() { _ = execute() })
	}
	return execute()
}

// check is the oracle of a single order.
func (x wire) check(o backend.Order) {
	d, report := x.w.desired(x.id, int(o.FencingNumber)), x.n.reports[x.id]
	if report.Load.FencingNumber > o.FencingNumber {
		x.w.t.Fatalf("%s orders %+v although the engine reports %d", x.n.id, o, report.Load.FencingNumber)
	}
	switch o.Kind {
	case backend.OrderSetRole:
		if o.Role != d.Role {
			x.w.t.Fatalf("%s orders a role that its settings do not name: %+v", x.n.id, o)
		}
	case backend.OrderUnload:
		if modelOf(o) == d.name() || len(report.Load.Models) == 0 ||
			(report.lists(modelOf(o)) && !report.lists(d.name())) {
			x.w.t.Fatalf("%s unloads what must stay: %+v, reported %v", x.n.id, o, report.Load.Models)
		}
	case backend.OrderLoad:
		if modelOf(o) != d.name() {
			x.w.t.Fatalf("%s loads what its settings do not name: %+v", x.n.id, o)
		}
		if !slices.ContainsFunc(x.w.permits(), func(r permitRow) bool { return r.Holder == x.n.id && r.Replica == x.id }) {
			x.w.t.Fatalf("%s loads on %s without a permit: %+v", x.n.id, x.id, x.w.permits())
		}
	}
}

func (w *world) permits() []permitRow {
	rows, _ := w.table.Table.Scan(context.Background(), permitPrefix, "", 100)
	var list []permitRow
	for _, row := range rows {
		r, err := decodePermit(row.Key, row.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		list = append(list, r)
	}
	return list
}

func (w *world) node(t *rapid.T) *testNode { return rapid.SampledFrom(w.nodes).Draw(t, "node") }

func (w *world) deliverLate() {
	for _, f := range w.late {
		f()
	}
	for _, txn := range w.table.late {
		_, _ = w.table.Table.Commit(context.Background(), txn)
	}
	w.late, w.table.late = nil, nil
}

func (w *world) right() bool {
	for id, e := range w.engines {
		if e.is(w.desired(id, len(w.versions))) != "" {
			return false
		}
	}
	return true
}

// settle ends the faults and checks that all engines reach the newest state
// and that the nodes then rest.
func (w *world) settle() {
	w.table.mode, w.orders = "", ""
	w.deliverLate()
	for _, n := range w.nodes {
		n.paused, n.slow, n.live, n.version = false, false, allNodes, len(w.versions)
	}
	for range 60 {
		if w.step(10 * time.Second); w.right() {
			break
		}
	}
	w.step(time.Minute) // releases and late effects
	sends, commits := w.sends, w.table.Commits()
	w.step(time.Minute)
	for id, e := range w.engines {
		if diff := e.is(w.desired(id, len(w.versions))); diff != "" {
			w.t.Fatalf("%s: %s; dumps %+v", id, diff, w.nodes[0].service.Dump())
		}
		if e.honours && !slices.IsSortedFunc(e.executed, func(a, b backend.Order) int { return int(a.FencingNumber) - int(b.FencingNumber) }) {
			w.t.Fatalf("%s executed an older order after a newer one: %+v", id, e.executed)
		}
	}
	if w.sends != sends || w.table.Commits() != commits {
		w.t.Fatalf("%d orders and %d commits after all engines are right", w.sends-sends, w.table.Commits()-commits)
	}
}

// Guards against an engine that never reaches the newest settings, a load
// without a permit, an unload that leaves nothing to serve, and orders without
// end, after ownership moves, pauses, lost, late and repeated orders and
// writes, outages, restarts of engines and settings of different ages.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 2).Draw(t, "maxLoads"))
		t.Repeat(map[string]func(*rapid.T){
			"time":  func(t *rapid.T) { w.step(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) },
			"time2": func(t *rapid.T) { w.step(time.Duration(rapid.IntRange(5, 60).Draw(t, "s")) * time.Second) },
			"change": func(t *rapid.T) {
				w.change(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
					rapid.SampledFrom([]string{"decode", "prefill"}).Draw(t, "role"))
			},
			"learn": func(t *rapid.T) {
				n := w.node(t)
				n.version = rapid.IntRange(n.version, len(w.versions)).Draw(t, "version")
			},
			"move": func(t *rapid.T) {
				n := w.node(t)
				n.live = []core.NodeID{n.id}
				for _, id := range allNodes {
					if id != n.id && rapid.Bool().Draw(t, "live") {
						n.live = append(n.live, id)
					}
				}
			},
			"pause":   func(t *rapid.T) { n := w.node(t); n.paused = !n.paused },
			"slow":    func(t *rapid.T) { n := w.node(t); n.slow = !n.slow },
			"deliver": func(*rapid.T) { w.deliverLate() },
			"table": func(t *rapid.T) {
				w.table.mode = rapid.SampledFrom([]string{"", "", "away", "late", "lost", "lost, no reads"}).Draw(t, "mode")
			},
			"orders": func(t *rapid.T) {
				w.orders = rapid.SampledFrom([]string{"", "", "unreachable", "lost", "late", "answer lost", "repeated"}).Draw(t, "mode")
			},
			"restart": func(t *rapid.T) {
				id := rapid.SampledFrom([]core.ReplicaID{"r0", "r1", "r2", "r3"}).Draw(t, "engine")
				w.engines[id].restart()
				w.engines[id].executed = nil
			},
		})
		w.settle()
	})
}

// Guards against a load that a node sends after a pause although its permit
// was not renewed, its settings changed or ownership moved during the pause,
// and against a permit kept for a load that is no longer wanted.
func TestPauseBeforeLoad(t *testing.T) {
	changes := map[string]func(*world, *testNode){
		"permit":   func(w *world, _ *testNode) { w.now = w.now.Add(25 * time.Second) },
		"settings": func(w *world, n *testNode) { w.change("", "decode"); n.version = 2 },
		"owner":    func(_ *world, n *testNode) { n.live = []core.NodeID{"x"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, n := alone(t)
			n.slow, w.orders = true, "unreachable"
			for !n.loadPending() {
				w.step(500 * time.Millisecond)
			}
			sends := w.sends
			change(w, n)
			n.run()
			g.Expect(w.sends).To(gomega.Equal(sends))
			g.Expect(n.loadPending()).To(gomega.BeFalse())
			if name == "settings" {
				w.step(10 * time.Second)
				g.Expect(w.permits()).To(gomega.BeEmpty())
			}
		})
	}
}

// loadPending reports whether a load was decided on and not sent yet.
func (n *testNode) loadPending() bool {
	for _, r := range n.service.replicas {
		if r.sending && r.permit != nil && r.permit.used {
			return true
		}
	}
	return false
}

// Guards against a permit taken for a load that is no longer wanted, and kept.
func TestUnusedPermit(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.orders = "lost" // no role order gets through, so that loads wait
	for len(w.permits()) == 0 {
		w.step(500 * time.Millisecond)
	}
	w.change("", "decode")
	for _, n := range w.nodes {
		n.version = 2
	}
	w.step(3 * time.Minute) // a load that was sent is given up
	g.Expect(w.permits()).To(gomega.BeEmpty())
}

// alone returns a world in which only node a runs and owns all replicas.
func alone(t *testing.T) (*world, *testNode) {
	w := newWorld(t, 1)
	w.nodes[0].live = []core.NodeID{"a"}
	w.nodes[1].paused, w.nodes[2].paused = true, true
	return w, w.nodes[0]
}

// Guards against a holder that goes on using a permit that was taken over, and
// against a load in progress that this stops.
func TestPermitLost(t *testing.T) {
	g := gomega.NewWithT(t)
	w, n := alone(t)
	for w.engines["r0"].downloads(w.now)+w.engines["r1"].downloads(w.now)+w.engines["r2"].downloads(w.now)+w.engines["r3"].downloads(w.now) == 0 {
		w.step(500 * time.Millisecond)
	}
	stolen, err := permitRow{Holder: "x", Token: "x/1", Replica: "s"}.encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = w.table.Table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: permitKey(0), Value: stolen}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sends := w.sends
	w.step(11 * time.Second)
	g.Expect(n.service.Dump().(ServiceDump).Permits).To(gomega.BeEmpty())
	g.Expect(w.sends).To(gomega.Equal(sends))
	w.settle() // the row lapses
}

// Guards against orders that are repeated to an engine that refused the number
// before its report shows why, and against orders and tries that are carried
// over to another process at a new address.
func TestFencedAndMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	w, n := alone(t)
	w.step(3 * time.Second)
	w.engines["r0"].fencing = 9 // not reported yet when the first order goes out
	w.step(30 * time.Second)
	r := n.service.replicas["r0"]
	g.Expect(r.fenced).To(gomega.BeEquivalentTo(1))
	g.Expect(r.last.Tries).To(gomega.Equal(1))
	moved := *w.view.Replica("r0")
	moved.Address = "r2"
	r.observe(&moved, r.desired, r.report, n.service.cfg, w.now)
	g.Expect(r.fenced).To(gomega.BeZero())
	g.Expect(r.history).To(gomega.BeEmpty())
}
