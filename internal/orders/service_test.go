package orders

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// cluster runs the services of several nodes as goroutines in a synctest bubble.
type cluster struct {
	table    *infratest.Table
	engines  []*fakeEngine
	view     *directory.View
	settings *settings.Snapshot
	scope    tally.TestScope
	tasks    sync.WaitGroup
	cancels  []context.CancelFunc
	live     atomic.Pointer[[]core.NodeID]
	sent     atomic.Int64
}

type countingEngine struct {
	c *cluster
	e *fakeEngine
}

func (x countingEngine) Order(_ context.Context, o backend.Order) error {
	x.c.sent.Add(1)
	return x.e.execute(o, time.Now())
}

func startCluster(nodes, replicas int) *cluster {
	c := &cluster{table: infratest.NewTable(), scope: tally.NewTestScope("", nil),
		settings: settings.NewSnapshot(settings.SnapshotInput{Version: 3, Deployments: []settings.Deployment{
			{ID: "d", Kind: settings.KindModel, Model: "m", ModelVersion: "v2", HonoursFencing: true}}})}
	var list []directory.Replica
	for i := range replicas {
		c.engines = append(c.engines, &fakeEngine{honoursFencing: true, models: []string{"m@v1"}, loading: map[string]time.Time{}})
		list = append(list, directory.Replica{ID: core.ReplicaID(fmt.Sprint(i)), Deployment: "d", DataCentre: "dc", Address: fmt.Sprint(i)})
	}
	c.view = directory.NewView(list)
	var ids []core.NodeID
	for i := range nodes {
		ids = append(ids, core.NodeID(fmt.Sprint("n", i)))
	}
	c.live.Store(&ids)
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id core.NodeID) {
	engine := func(r string) *fakeEngine {
		var i int
		_, _ = fmt.Sscan(r, &i)
		return c.engines[i]
	}
	s := NewService(Options{
		Members: func() *membership.View {
			var list []membership.Member
			for _, id := range *c.live.Load() {
				list = append(list, membership.Member{ID: id, DataCentre: "dc", State: membership.StateLive})
			}
			return membership.NewView(id, list)
		},
		Replicas: func() *directory.View { return c.view }, Settings: func() *settings.Snapshot { return c.settings },
		Engine: func(address string) Engine { return countingEngine{c, engine(address)} },
		Report: func(id core.ReplicaID) Report { return engine(string(id)).report(time.Now()) },
		Table:  c.table, Scope: c.scope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels = append(c.cancels, cancel)
	c.tasks.Go(func() { s.Run(ctx) })
	c.tasks.Go(func() { // Dump must be safe at any time.
		for ctx.Err() == nil {
			s.Dump()
			time.Sleep(time.Second)
		}
	})
}

func (c *cluster) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
	c.tasks.Wait()
}

func (c *cluster) activeLoads() int {
	n := 0
	for _, e := range c.engines {
		n += e.activeLoads(time.Now())
	}
	return n
}

func (c *cluster) converged() bool {
	for _, e := range c.engines {
		if e.diffFrom(Desired{Model: "m", Version: "v2"}) != "" {
			return false
		}
	}
	return true
}

// Guards against a roll-out that loads on more engines at once than there are
// permits, writes more often than the package comment states, or leaves a
// permit unreleased.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const replicas = 12
		c := startCluster(4, replicas)
		peak, steps := 0, 0
		for ; !c.converged() && steps < 3600; steps++ {
			time.Sleep(100 * time.Millisecond)
			peak = max(peak, c.activeLoads())
		}
		time.Sleep(10 * time.Second)
		c.stop()
		g.Expect(c.converged()).To(gomega.BeTrue())
		g.Expect(peak).To(gomega.Equal(2))
		g.Expect(c.sent.Load()).To(gomega.BeEquivalentTo(2 * replicas)) // a load and an unload each
		// A load of 15 s and its report take at most two renewals.
		g.Expect(c.table.Commits()).To(gomega.BeNumerically("<=", replicas*4))
		rows, err := c.table.Scan(t.Context(), permitPrefix, "", 10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rows).To(gomega.BeEmpty())
		t.Logf("%d replicas in %d ms: %d commits, %d reads", replicas, steps*100, c.table.Commits(), c.table.Reads())
	})
}

// Guards against loads that start while the table service is unavailable,
// running loads that the outage stops, and a holder that loses its permit
// because it could not renew during the outage.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(3, 6)
		for c.activeLoads() < 2 {
			time.Sleep(100 * time.Millisecond)
		}
		c.table.SetFaultPlan(infratest.FaultPlan{Down: true})
		sent := c.sent.Load()
		time.Sleep(2 * time.Minute)
		g.Expect(c.activeLoads()).To(gomega.BeZero())
		g.Expect(c.sent.Load()).To(gomega.Equal(sent + 2)) // the unloads of the two
		c.table.SetFaultPlan(infratest.FaultPlan{})
		time.Sleep(5 * time.Minute)
		c.stop()
		g.Expect(c.converged()).To(gomega.BeTrue())
		g.Expect(c.scope.Snapshot().Counters()).NotTo(gomega.HaveKey("orders.permits_lost+"))
	})
}

// Guards against a load that no node continues after its owner stopped, a permit
// that is never freed, and a planned stop that lets another load start while
// its own are still running.
func TestOwnerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := startCluster(2, 6)
		for c.activeLoads() < 2 {
			time.Sleep(100 * time.Millisecond)
		}
		c.cancels[0]()
		last := (*c.live.Load())[1:]
		c.live.Store(&last)
		for range 3000 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(c.activeLoads()).To(gomega.BeNumerically("<=", 2))
		}
		c.stop()
		g.Expect(c.converged()).To(gomega.BeTrue())
	})
}

// Guards against a permit that is taken over although PermitTTL has not passed
// by the observer's clock since the first read, the last failed read or the
// last renewal; and against one that is never taken over.
func TestPermitTakeover(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, now, table := t.Context(), t0, infratest.NewTable()
	cfg := Config{MaxLoads: 1}.withDefaults()
	newTable := func(node core.NodeID) *permitTable {
		return &permitTable{table: table, cfg: cfg, now: func() time.Time { return now }, node: node, processID: string(node)}
	}
	a, b := newTable("a"), newTable("b")
	p, _, err := a.acquire(ctx, "r", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	try := func(after time.Duration) error {
		now = now.Add(after)
		_, _, err := b.acquire(ctx, "s", 1)
		return err
	}
	g.Expect(try(time.Hour)).To(gomega.MatchError(errNoPermit), "first seen now")
	g.Expect(try(29 * time.Second)).To(gomega.MatchError(errNoPermit))
	table.SetFaultPlan(infratest.FaultPlan{LoseResponses: 1})
	g.Expect(a.renew(ctx, p)).To(gomega.Succeed(), "read back")
	table.SetFaultPlan(infratest.FaultPlan{})
	g.Expect(a.renew(ctx, p)).To(gomega.Succeed())
	g.Expect(try(29*time.Second)).To(gomega.MatchError(errNoPermit), "renewed")
	table.SetFaultPlan(infratest.FaultPlan{Down: true})
	g.Expect(try(time.Second)).To(gomega.MatchError(infra.ErrUnavailable))
	table.SetFaultPlan(infratest.FaultPlan{})
	g.Expect(try(time.Second)).To(gomega.MatchError(errNoPermit), "could not be renewed")
	g.Expect(try(29 * time.Second)).To(gomega.MatchError(errNoPermit))
	g.Expect(try(time.Second)).To(gomega.Succeed())
	g.Expect(a.renew(ctx, p)).To(gomega.MatchError(errPermitLost))
}

// Guards against a renewal that takes effect late and is mistaken for a later
// one: the holder would use the permit for longer than others observe it.
func TestLateRenewal(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, now, table := t.Context(), t0, &faultyTable{Table: infratest.NewTable()}
	a := &permitTable{table: table, cfg: Config{MaxLoads: 1}.withDefaults(), now: func() time.Time { return now }, node: "a", processID: "a"}
	p, _, err := a.acquire(ctx, "r", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table.mode = "late"
	g.Expect(a.renew(ctx, p)).To(gomega.MatchError(infra.ErrOutcomeUnknown))
	_, err = table.Table.Commit(ctx, table.late[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	now, table.mode = now.Add(15*time.Second), ""
	g.Expect(a.renew(ctx, p)).To(gomega.MatchError(infra.ErrOutcomeUnknown))
	g.Expect(p.renewed).To(gomega.Equal(t0))
	g.Expect(a.renew(ctx, p)).To(gomega.Succeed())
	g.Expect(p.renewed).To(gomega.Equal(now))
}
