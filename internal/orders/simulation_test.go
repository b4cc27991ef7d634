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

// faultyTable loses responses, is unavailable, or delays writes, as mode says.
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

// testNode is a simulated node; its calls run when the test runs them.
type testNode struct {
	id      core.NodeID
	service *Service
	version int
	live    []core.NodeID
	paused  bool
	slow    bool // calls run only in the node's next step
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

// simulation holds three nodes, four engines and one table on a simulated clock.
// Engines of the deployment "honours" honour fencing numbers; those of "ignores"
// ignore them.
type simulation struct {
	t          rapid.TB
	now        time.Time
	table      *faultyTable
	engines    map[core.ReplicaID]*fakeEngine
	view       *directory.View
	nodes      []*testNode
	versions   []*settings.Snapshot // index: version - 1
	orderFault string               // the fault that orders meet
	late       []func()
	sends      int
}

var allNodes = []core.NodeID{"a", "b", "c"}

func newSimulation(t rapid.TB, maxLoads int) *simulation {
	sim := &simulation{t: t, now: t0, table: &faultyTable{Table: infratest.NewTable()}, engines: map[core.ReplicaID]*fakeEngine{}}
	sim.change("v1", "decode")
	var replicas []directory.Replica
	for i := range 4 {
		id, deployment := core.ReplicaID(fmt.Sprint("r", i)), []core.DeploymentID{"honours", "ignores"}[i%2]
		sim.engines[id] = &fakeEngine{honoursFencing: i%2 == 0, loading: map[string]time.Time{}}
		replicas = append(replicas, directory.Replica{ID: id, Deployment: deployment, DataCentre: "dc", Address: string(id)})
	}
	sim.view = directory.NewView(replicas)
	cfg := Config{MaxLoads: maxLoads, LoadTimeout: 2 * time.Minute}
	for _, id := range allNodes {
		n := &testNode{id: id, version: 1, live: allNodes, reports: map[core.ReplicaID]Report{}}
		n.service = NewService(Options{
			Config: cfg, Members: n.members, Replicas: func() *directory.View { return sim.view },
			Settings: func() *settings.Snapshot { return sim.versions[n.version-1] },
			Engine:   func(address string) Engine { return faultyConn{sim, n, core.ReplicaID(address)} },
			Report:   func(id core.ReplicaID) Report { return n.reports[id] },
			Table:    sim.table, Now: func() time.Time { return sim.now }, Random: func() float64 { return 0.5 },
		})
		n.service.spawn = func(f func()) { n.calls = append(n.calls, f) }
		sim.nodes = append(sim.nodes, n)
	}
	return sim
}

// change publishes new settings.
func (sim *simulation) change(version, role string) {
	base := settings.Deployment{Kind: settings.KindModel, Model: "m", ModelVersion: version, Role: role}
	honours, ignores := base, base
	honours.ID, honours.HonoursFencing, ignores.ID = "honours", true, "ignores"
	sim.versions = append(sim.versions, settings.NewSnapshot(settings.SnapshotInput{
		Version: uint64(len(sim.versions) + 1), Deployments: []settings.Deployment{honours, ignores}}))
}

func (sim *simulation) desired(id core.ReplicaID, version int) Desired {
	s := sim.versions[version-1]
	return DesiredOf(s, s.Deployment(sim.view.Replica(id).Deployment))
}

// step advances the clock and runs the nodes that are not paused.
func (sim *simulation) step(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(500 * time.Millisecond)
		for _, n := range sim.nodes {
			if n.paused {
				continue
			}
			n.run()
			for id, e := range sim.engines {
				n.reports[id] = e.report(sim.now)
			}
			n.service.tick(context.Background())
			if !n.slow {
				n.run()
			}
		}
	}
}

// faultyConn sends a node's orders to an engine and injects faults.
type faultyConn struct {
	sim *simulation
	n   *testNode
	id  core.ReplicaID
}

func (x faultyConn) Order(_ context.Context, o backend.Order) error {
	sim := x.sim
	sim.sends++
	x.check(o)
	execute := func() error { return sim.engines[x.id].execute(o, sim.now) }
	switch sim.orderFault {
	case "unreachable":
		return backend.ErrUnreachable
	case "lost":
		return backend.ErrInterrupted
	case "late":
		sim.late = append(sim.late, func() { _ = execute() })
		return backend.ErrInterrupted
	case "answer lost":
		_ = execute()
		return backend.ErrInterrupted
	case "repeated":
		sim.late = append(sim.late, func() { _ = execute() })
	}
	return execute()
}

// check fails the test if an order contradicts the node's report, its settings
// or the permits.
func (x faultyConn) check(o backend.Order) {
	d, report := x.sim.desired(x.id, int(o.FencingNumber)), x.n.reports[x.id]
	if report.Load.FencingNumber > o.FencingNumber {
		x.sim.t.Fatalf("%s orders %+v although the engine reports %d", x.n.id, o, report.Load.FencingNumber)
	}
	switch o.Kind {
	case backend.OrderSetRole:
		if o.Role != d.Role {
			x.sim.t.Fatalf("%s orders a role that is not in its settings: %+v", x.n.id, o)
		}
	case backend.OrderUnload:
		if modelOf(o) == d.target() || len(report.Load.Models) == 0 ||
			(report.listsModel(modelOf(o)) && !report.listsModel(d.target())) {
			x.sim.t.Fatalf("%s unloads a model that must stay: %+v, reported %v", x.n.id, o, report.Load.Models)
		}
	case backend.OrderLoad:
		if modelOf(o) != d.target() {
			x.sim.t.Fatalf("%s loads a model that is not in its settings: %+v", x.n.id, o)
		}
		if !slices.ContainsFunc(x.sim.permits(), func(r permitRow) bool { return r.Holder == x.n.id && r.Replica == x.id }) {
			x.sim.t.Fatalf("%s loads on %s without a permit: %+v", x.n.id, x.id, x.sim.permits())
		}
	}
}

func (sim *simulation) permits() []permitRow {
	rows, _ := sim.table.Table.Scan(context.Background(), permitPrefix, "", 100)
	var list []permitRow
	for _, row := range rows {
		r, err := decodePermit(row.Key, row.Value)
		if err != nil {
			sim.t.Fatal(err)
		}
		list = append(list, r)
	}
	return list
}

func (sim *simulation) node(t *rapid.T) *testNode {
	return rapid.SampledFrom(sim.nodes).Draw(t, "node")
}

func (sim *simulation) deliverLate() {
	for _, f := range sim.late {
		f()
	}
	for _, txn := range sim.table.late {
		_, _ = sim.table.Table.Commit(context.Background(), txn)
	}
	sim.late, sim.table.late = nil, nil
}

func (sim *simulation) converged() bool {
	for id, e := range sim.engines {
		if e.diffFrom(sim.desired(id, len(sim.versions))) != "" {
			return false
		}
	}
	return true
}

// finishAndCheck ends the faults and checks that all engines reach the newest desired
// state and that the nodes then send no more orders and write no more rows.
func (sim *simulation) finishAndCheck() {
	sim.table.mode, sim.orderFault = "", ""
	sim.deliverLate()
	for _, n := range sim.nodes {
		n.paused, n.slow, n.live, n.version = false, false, allNodes, len(sim.versions)
	}
	for range 60 {
		if sim.step(10 * time.Second); sim.converged() {
			break
		}
	}
	sim.step(time.Minute) // releases and late effects
	sends, commits := sim.sends, sim.table.Commits()
	sim.step(time.Minute)
	for id, e := range sim.engines {
		if diff := e.diffFrom(sim.desired(id, len(sim.versions))); diff != "" {
			sim.t.Fatalf("%s: %s; dumps %+v", id, diff, sim.nodes[0].service.Dump())
		}
		if e.honoursFencing && !slices.IsSortedFunc(e.executed, func(a, b backend.Order) int { return int(a.FencingNumber) - int(b.FencingNumber) }) {
			sim.t.Fatalf("%s executed an older order after a newer one: %+v", id, e.executed)
		}
	}
	if sim.sends != sends || sim.table.Commits() != commits {
		sim.t.Fatalf("%d orders and %d commits after all engines reached the desired state", sim.sends-sends, sim.table.Commits()-commits)
	}
}

// Guards against an engine that never reaches the newest settings, a load
// without a permit, an unload that leaves no model to serve, and orders that
// never stop. The faults are ownership moves, pauses, lost, delayed and repeated
// orders and writes, outages, engine restarts and nodes with stale settings.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 2).Draw(t, "maxLoads"))
		t.Repeat(map[string]func(*rapid.T){
			"time":  func(t *rapid.T) { sim.step(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) },
			"time2": func(t *rapid.T) { sim.step(time.Duration(rapid.IntRange(5, 60).Draw(t, "s")) * time.Second) },
			"change": func(t *rapid.T) {
				sim.change(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
					rapid.SampledFrom([]string{"decode", "prefill"}).Draw(t, "role"))
			},
			"learn": func(t *rapid.T) {
				n := sim.node(t)
				n.version = rapid.IntRange(n.version, len(sim.versions)).Draw(t, "version")
			},
			"move": func(t *rapid.T) {
				n := sim.node(t)
				n.live = []core.NodeID{n.id}
				for _, id := range allNodes {
					if id != n.id && rapid.Bool().Draw(t, "live") {
						n.live = append(n.live, id)
					}
				}
			},
			"pause":   func(t *rapid.T) { n := sim.node(t); n.paused = !n.paused },
			"slow":    func(t *rapid.T) { n := sim.node(t); n.slow = !n.slow },
			"deliver": func(*rapid.T) { sim.deliverLate() },
			"table": func(t *rapid.T) {
				sim.table.mode = rapid.SampledFrom([]string{"", "", "away", "late", "lost", "lost, no reads"}).Draw(t, "mode")
			},
			"orders": func(t *rapid.T) {
				sim.orderFault = rapid.SampledFrom([]string{"", "", "unreachable", "lost", "late", "answer lost", "repeated"}).Draw(t, "mode")
			},
			"restart": func(t *rapid.T) {
				id := rapid.SampledFrom([]core.ReplicaID{"r0", "r1", "r2", "r3"}).Draw(t, "engine")
				sim.engines[id].restart()
				sim.engines[id].executed = nil
			},
		})
		sim.finishAndCheck()
	})
}

// Guards against a load that a node sends after a pause although its permit
// was not renewed, its settings changed or ownership moved during the pause,
// and against a permit that is kept for a load that is no longer desired.
func TestPauseBeforeLoad(t *testing.T) {
	changes := map[string]func(*simulation, *testNode){
		"permit":   func(sim *simulation, _ *testNode) { sim.now = sim.now.Add(25 * time.Second) },
		"settings": func(sim *simulation, n *testNode) { sim.change("", "decode"); n.version = 2 },
		"owner":    func(_ *simulation, n *testNode) { n.live = []core.NodeID{"x"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			sim, n := newSingleNode(t)
			n.slow, sim.orderFault = true, "unreachable"
			for !n.loadPending() {
				sim.step(500 * time.Millisecond)
			}
			sends := sim.sends
			change(sim, n)
			n.run()
			g.Expect(sim.sends).To(gomega.Equal(sends))
			g.Expect(n.loadPending()).To(gomega.BeFalse())
			if name == "settings" {
				sim.step(10 * time.Second)
				g.Expect(sim.permits()).To(gomega.BeEmpty())
			}
		})
	}
}

// loadPending reports whether a load was decided on but not sent yet.
func (n *testNode) loadPending() bool {
	for _, r := range n.service.replicas {
		if r.sending && r.permit != nil && r.permit.loadSent {
			return true
		}
	}
	return false
}

// Guards against a permit that is acquired for a load and kept after the load is
// no longer desired.
func TestUnusedPermitIsReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(t, 1)
	sim.orderFault = "lost" // no set_role order arrives, so loads have to wait
	for len(sim.permits()) == 0 {
		sim.step(500 * time.Millisecond)
	}
	sim.change("", "decode")
	for _, n := range sim.nodes {
		n.version = 2
	}
	sim.step(3 * time.Minute) // long enough to give up a load that was sent
	g.Expect(sim.permits()).To(gomega.BeEmpty())
}

// newSingleNode returns a simulation in which only node a runs, as the owner of
// all replicas.
func newSingleNode(t *testing.T) (*simulation, *testNode) {
	sim := newSimulation(t, 1)
	sim.nodes[0].live = []core.NodeID{"a"}
	sim.nodes[1].paused, sim.nodes[2].paused = true, true
	return sim, sim.nodes[0]
}

// Guards against a holder that continues to use a permit that was taken over,
// and against the loss of the permit stopping a load that is already running.
func TestPermitLost(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, n := newSingleNode(t)
	for sim.engines["r0"].activeLoads(sim.now)+sim.engines["r1"].activeLoads(sim.now)+sim.engines["r2"].activeLoads(sim.now)+sim.engines["r3"].activeLoads(sim.now) == 0 {
		sim.step(500 * time.Millisecond)
	}
	foreignRow, err := permitRow{Holder: "x", Token: "x/1", Replica: "s"}.encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = sim.table.Table.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: permitKey(0), Value: foreignRow}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sends := sim.sends
	sim.step(11 * time.Second)
	g.Expect(n.service.Dump().(ServiceDump).Permits).To(gomega.BeEmpty())
	g.Expect(sim.sends).To(gomega.Equal(sends))
	sim.finishAndCheck() // the foreign row expires
}

// Guards against repeating an order to an engine that refused its fencing number
// before the report shows the higher one, and against keeping the order history
// of the old address for another process at a new one.
func TestFencedAndNewAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	sim, n := newSingleNode(t)
	sim.step(3 * time.Second)
	sim.engines["r0"].fencingNumber = 9 // not reported yet when the first order goes out
	sim.step(30 * time.Second)
	r := n.service.replicas["r0"]
	g.Expect(r.fenced).To(gomega.BeEquivalentTo(1))
	g.Expect(r.lastOrder.Attempts).To(gomega.Equal(1))
	moved := *sim.view.Replica("r0")
	moved.Address = "r2"
	r.update(&moved, r.desired, r.report, n.service.cfg, sim.now)
	g.Expect(r.fenced).To(gomega.BeZero())
	g.Expect(r.history).To(gomega.BeEmpty())
}
