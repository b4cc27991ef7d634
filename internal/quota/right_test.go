package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// ownersOf returns the services of the first data centre that may own an organisation, in
// their order.
func (f *simFleet) ownersOf(org core.Org) []*Service {
	var out []*Service
	first := f.nodes[f.ids[0]]
	for _, id := range first.process.Load().service.candidates().owners(org, first.record.DataCentre) {
		out = append(out, f.nodes[id].process.Load().service)
	}
	return out
}

// Load: the first owner doesn't answer the second, while nodes may still reach it.
func TestRightOfTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newSimFleet(t, 1, []int{4, 4, 4}, simOrg("a", 30, 30))
		defer f.stop()
		time.Sleep(warmUp)
		owners := f.ownersOf("a")
		owners[1].peers.called(time.Now())
		time.Sleep(returnTime)
		now := time.Now()
		owners[1].peers.called(now)
		g.Expect(owners[0].right("a", now)).To(gomega.Equal(dataCentreRight(3)))
		g.Expect(owners[1].right("a", now)).To(gomega.Equal(takeoverRight(3)))
		owners[1].peers.failed(owners[0].Messenger.Self(), now)
		owners[1].peers.called(now.Add(takeoverTime / 2))
		g.Expect(owners[1].right("a", now.Add(takeoverTime-1))).To(gomega.Equal(takeoverRight(3)))
		owners[1].peers.called(now.Add(takeoverTime))
		g.Expect(owners[1].right("a", now.Add(takeoverTime))).To(gomega.Equal(dataCentreRight(3)))
		owners[1].peers.heard(owners[0].Messenger.Self(), now.Add(takeoverTime))
		g.Expect(owners[1].right("a", now.Add(takeoverTime))).To(gomega.Equal(takeoverRight(3)))
	})
}

// Load: the first owner has heard of nobody for a while, and is back in touch.
func TestRightOfAnOwnerOutOfTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newSimFleet(t, 1, []int{4, 4, 4}, simOrg("a", 30, 30))
		defer f.stop()
		g.Expect(f.ownersOf("a")[0].right("a", time.Now())).To(gomega.Equal(takeoverRight(3)), "just started")
		time.Sleep(warmUp)
		owner := f.ownersOf("a")[0]
		now := time.Now()
		owner.peers.called(now)
		g.Expect(owner.right("a", now.Add(touchTime-1))).To(gomega.Equal(dataCentreRight(3)))
		g.Expect(owner.right("a", now.Add(touchTime))).To(gomega.Equal(loneRight(12, 3)))
		back := now.Add(touchTime)
		owner.peers.called(back)
		g.Expect(owner.right("a", back)).To(gomega.Equal(takeoverRight(3)))
		owner.peers.called(back.Add(returnTime))
		g.Expect(owner.right("a", back.Add(returnTime))).To(gomega.Equal(dataCentreRight(3)))
	})
}

// Load: an owner with a full ledger stops as planned.
func TestLedgerIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newSimFleet(t, 1, []int{4}, simOrg("a", 30, 30))
		defer f.stop()
		time.Sleep(warmUp)
		owners := f.ownersOf("a")
		owners[0].Stop(context.Background())
		g.Expect(owners[1].Snapshot()).To(gomega.HaveLen(1))
		g.Expect(owners[1].Snapshot()[0].Left).To(gomega.BeNumerically(">=", 30))
		g.Expect(owners[0].Snapshot()[0].Left).To(gomega.BeNumerically("<", 2))
	})
}

// Load: the table of nodes was not read yet.
func TestNodeThatKnowsNoFleetOwnsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCandidates(nil, simRecord(0, 0))
	g.Expect(c.owners("a", "dc-0")).To(gomega.BeEmpty())
	g.Expect(loneRight(c.nodes, 0).Share).To(gomega.BeNumerically("<=", loneShare/assumedNodes))
}
