package directory

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// fakeProber maps an address to the error of its probes. Other probes succeed.
type fakeProber map[string]error

func (p fakeProber) Probe(_ context.Context, _ settings.DeploymentKind, address string) (backend.Load, error) {
	return backend.Load{Slots: 8}, p[address]
}

// fixture is a data centre with one replica and two nodes, self and other.
type fixture struct {
	self      core.NodeID
	prober    fakeProber
	settings  *settings.Snapshot
	otherLive bool // whether node other is live
}

func (f *fixture) members() *membership.View {
	state := membership.StateDown
	if f.otherLive {
		state = membership.StateLive
	}
	return membership.NewView(f.self, []membership.Member{
		{ID: f.self, DataCentre: "dc", State: membership.StateLive},
		{ID: "other", DataCentre: "dc", State: state},
	})
}

func (f *fixture) service() *Service {
	return NewService("dc", "r", f.prober, func() *settings.Snapshot { return f.settings }, f.members,
		func(core.ReplicaID) Counts { return Counts{InUse: 3, Batch: 2, Queued: 1} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// nonOwnerFixture returns a fixture in which node self does not own replica e1.
func nonOwnerFixture() *fixture {
	f := &fixture{prober: fakeProber{}, settings: settingsWith(), otherLive: true}
	for i := range 20 {
		f.self = core.NodeID(fmt.Sprint("n", i))
		if owner, _ := f.members().Owner("e1", "dc"); owner == "other" {
			return f
		}
	}
	panic("node other owns no replica")
}

// settingsWith returns settings with deployment d and the given backend settings.
func settingsWith(backends ...settings.Backend) *settings.Snapshot {
	return settings.NewSnapshot(settings.SnapshotInput{
		Deployments: []settings.Deployment{{ID: "d", Kind: settings.KindModel, Model: "m"}}, Backends: backends,
	})
}

var replicaVM = infra.VM{ID: "e1", Kind: infra.KindBackend, DataCentre: "dc", Region: "r", Address: "a1", Deployment: "d"}

// Guards against a failed backend server that stays in service, against one lost
// poll that takes a server out of service, and against a recovered server that stays
// out of service.
func TestOwnerDetectsDownAndUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fixture{self: "n1", prober: fakeProber{}, settings: settingsWith()}
		s := f.service()
		s.SetFleet([]infra.VM{replicaVM})
		poll := func() {
			s.pollOwned(t.Context())
			synctest.Wait()
			s.Refresh(time.Now())
		}
		poll()
		g.Expect(*s.Current().Replica("e1")).To(gomega.And(gomega.HaveField("State", StateUp),
			gomega.HaveField("Slots", 8), gomega.HaveField("InUse", 3), gomega.HaveField("Batch", 2), gomega.HaveField("Queued", 1)))
		f.prober["a1"] = backend.ErrUnreachable
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateDown))
		f.prober["a1"] = nil
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
	})
}

// Guards against a node that takes requests before it has applied the first fleet list, and
// refuses them.
func TestNodeIsNotReadyBeforeTheFirstFleetList(t *testing.T) {
	g := gomega.NewWithT(t)
	s := (&fixture{self: "n1", prober: fakeProber{}, settings: settingsWith()}).service()
	g.Expect(s.Ready()).To(gomega.BeFalse())
	s.SetFleet(nil)
	g.Expect(s.Ready()).To(gomega.BeTrue(), "a fleet without backend servers")
}

// Guards against a backend server that no node uses for a moment because a node that has
// started owns it now and has published nothing of it yet.
func TestReplicaOfANewOwnerKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := nonOwnerFixture()
		f.otherLive = false
		s := f.service()
		s.SetFleet([]infra.VM{replicaVM})
		s.pollOwned(t.Context())
		synctest.Wait()
		f.otherLive = true
		s.Refresh(time.Now())
		g.Expect(*s.Current().Replica("e1")).To(gomega.And(gomega.HaveField("State", StateUp), gomega.HaveField("Slots", 8)))
	})
}

// Guards against a drained or leaving backend server that still appears usable to
// its owner or to other nodes.
func TestDrainAndLeavingReachEveryNode(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fixture{self: "n1", prober: fakeProber{}, settings: settingsWith()}
	s := f.service()
	leaving := replicaVM
	leaving.Leaving = true
	s.SetFleet([]infra.VM{leaving})
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))

	s.SetFleet([]infra.VM{replicaVM})
	f.settings = settingsWith(settings.Backend{ID: "e1", Drain: true})
	s.Refresh(time.Now())
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))

	// A node that neither owns the replica nor has the drain in its settings
	// learns of the drain from the owner's status.
	o := nonOwnerFixture().service()
	o.SetFleet([]infra.VM{replicaVM})
	o.OnStatus("n1", s.DataCentreStatus())
	o.Refresh(time.Now())
	g.Expect(o.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))
}

// Guards against a published state that stays in use long after its owner stopped
// publishing.
func TestPublishedStatusExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	s := nonOwnerFixture().service()
	s.SetFleet([]infra.VM{replicaVM})
	s.OnStatus("other", encodeStatus([]Status{{Replica: "e1", State: StateDown, Slots: 8}}))
	s.Refresh(time.Now())
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateDown))
	s.Refresh(time.Now().Add(statusTTL + time.Second))
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
}
