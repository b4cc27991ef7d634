package nodes

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
)

func newTestDirectory(rows *infratest.Rows, id, lifetime string) *Directory {
	return NewDirectory(rows, Record{ID: core.NodeID(id), Lifetime: lifetime}, slog.New(slog.DiscardHandler))
}

func aliveOwners(d *Directory) []string {
	var out []string
	for owner := range d.View().Alive {
		out = append(out, owner)
	}
	return out
}

// Guards against taking over jobs of live nodes, and against leaving jobs at nodes
// that are gone.
func TestDirectoryTracksLiveNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	rows := infratest.NewRows()
	a, b := newTestDirectory(rows, "a", "1"), newTestDirectory(rows, "b", "1")
	g.Expect(a.renew(ctx)).To(gomega.Succeed())
	g.Expect(b.renew(ctx)).To(gomega.Succeed())
	g.Expect(aliveOwners(b)).To(gomega.ConsistOf("a/1", "b/1"))

	restarted := newTestDirectory(rows, "a", "2")
	g.Expect(restarted.renew(ctx)).To(gomega.Succeed())
	g.Expect(b.renew(ctx)).To(gomega.Succeed())
	g.Expect(aliveOwners(b)).To(gomega.ConsistOf("a/2", "b/1"))

	// A late Leave of the first run of a must not delete the row of the second run.
	g.Expect(a.Leave(ctx)).To(gomega.MatchError(infra.ErrConflict))
	g.Expect(b.renew(ctx)).To(gomega.Succeed())
	g.Expect(aliveOwners(b)).To(gomega.ConsistOf("a/2", "b/1"))

	g.Expect(restarted.Leave(ctx)).To(gomega.Succeed())
	g.Expect(restarted.renew(ctx)).To(gomega.Succeed()) // a renewal after Leave has no effect
	g.Expect(b.renew(ctx)).To(gomega.Succeed())
	g.Expect(aliveOwners(b)).To(gomega.ConsistOf("b/1"))
}

// Guards against taking over jobs of nodes whose leases lapsed only because the
// store was unavailable.
func TestViewIsNotSettledRightAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	rows := infratest.NewRows()
	a := newTestDirectory(rows, "a", "1")
	g.Expect(a.renew(ctx)).To(gomega.Succeed())
	g.Expect(a.View().Settled).To(gomega.BeTrue())
	rows.SetFaultPlan(infratest.FaultPlan{Down: true})
	ended := make(chan struct{})
	go func() { a.Run(ctx); close(ended) }()
	g.Eventually(a.Failing, "10s", "1ms").Should(gomega.BeTrue())
	rows.SetFaultPlan(infratest.FaultPlan{})
	g.Eventually(a.Failing, "10s", "1ms").Should(gomega.BeFalse())
	cancel()
	<-ended
	g.Expect(a.View().Settled).To(gomega.BeFalse())
	restored, ok := a.restored.Get()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(a.settled(restored.Add(settleTime - time.Millisecond))).To(gomega.BeFalse())
	g.Expect(a.settled(restored.Add(settleTime))).To(gomega.BeTrue())
}

// Guards against reads of the nodes table that grow quadratically with the fleet,
// and against leases that lapse between two renewals.
func TestRenewIntervalGrowsWithFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(renewInterval(12)).To(gomega.Equal(minRenewInterval))
	perSecond := func(nodes int) float64 { return float64(nodes*nodes) / renewInterval(nodes).Seconds() }
	g.Expect(perSecond(600) / perSecond(300)).To(gomega.BeNumerically("~", 2, 0.01))
	rows := infratest.NewRows()
	for i := range 300 {
		g.Expect(newTestDirectory(rows, "n"+strconv.Itoa(i), "1").renew(t.Context())).To(gomega.Succeed())
	}
	d := newTestDirectory(rows, "a", "1")
	g.Expect(d.renew(t.Context())).To(gomega.Succeed())
	clock, _ := rows.Clock()
	g.Expect(d.View().Alive["a/1"].Until - clock).To(gomega.BeNumerically(">", 2*renewInterval(300)))
}

// Guards against nodes heard of from others that count as alive, so that jobs are
// claimed because of them, replace what the table says, or are kept for ever.
func TestNodesHeardOfCountAsLapsedUntilTheNextRead(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := infratest.NewRows()
	a, b := newTestDirectory(rows, "a", "1"), newTestDirectory(rows, "b", "1")
	other := Record{ID: "c", Lifetime: "1", Address: "127.0.0.1:1"}
	g.Expect(a.Preload([]Record{a.Self()})).To(gomega.BeFalse(), "it knows only itself")
	g.Expect(a.Preload([]Record{a.Self(), b.Self()})).To(gomega.BeTrue())
	g.Expect(a.Add(b.Self())).To(gomega.BeFalse(), "it is known")
	g.Expect(a.Add(other)).To(gomega.BeTrue())
	g.Expect(a.View().Alive).To(gomega.BeEmpty())
	g.Expect(a.View().Lapsed).To(gomega.HaveLen(2))
	g.Expect(a.View().Settled).To(gomega.BeFalse())

	g.Expect(b.renew(t.Context())).To(gomega.Succeed())
	g.Expect(a.renew(t.Context())).To(gomega.Succeed())
	g.Expect(aliveOwners(a)).To(gomega.ConsistOf("a/1", "b/1"))
	g.Expect(a.View().Lapsed).To(gomega.BeEmpty())
	g.Expect(a.Preload([]Record{other})).To(gomega.BeFalse(), "it has read the table")
	g.Expect(a.Add(a.Self())).To(gomega.BeFalse())
}
