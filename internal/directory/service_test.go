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

// fakeProber answers or fails by address.
type fakeProber map[string]error

func (p fakeProber) Probe(_ context.Context, _ settings.DeploymentKind, address string) (backend.Load, error) {
	return backend.Load{Slots: 8}, p[address]
}

// world is one data centre with two nodes and one replica.
type world struct {
	self     core.NodeID
	prober   fakeProber
	settings *settings.Snapshot
	live     bool // the other node
}

func (w *world) members() *membership.View {
	state := membership.StateDown
	if w.live {
		state = membership.StateLive
	}
	return membership.NewView(w.self, []membership.Member{
		{ID: w.self, DataCentre: "dc", State: membership.StateLive},
		{ID: "other", DataCentre: "dc", State: state},
	})
}

func (w *world) service() *Service {
	return NewService("dc", "r", w.prober, func() *settings.Snapshot { return w.settings }, w.members,
		func(core.ReplicaID) Counts { return Counts{InUse: 3, Batch: 2, Queued: 1} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// notOwner returns the world of a node that does not own replica e1.
func notOwner() *world {
	w := &world{prober: fakeProber{}, settings: deployment(), live: true}
	for i := range 20 {
		w.self = core.NodeID(fmt.Sprint("n", i))
		if owner, _ := w.members().Owner("e1", "dc"); owner == "other" {
			return w
		}
	}
	panic("node other owns no replica")
}

func deployment(backends ...settings.Backend) *settings.Snapshot {
	return settings.NewSnapshot(settings.SnapshotInput{
		Deployments: []settings.Deployment{{ID: "d", Kind: settings.KindModel, Model: "m"}}, Backends: backends,
	})
}

var replicaVM = infra.VM{ID: "e1", Kind: infra.KindBackend, DataCentre: "dc", Region: "r", Address: "a1", Deployment: "d"}

// Guards against a dead backend server that stays in service, against one lost
// poll that takes it out, and against one that never comes back.
func TestOwnerDetectsDownAndUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &world{self: "n1", prober: fakeProber{}, settings: deployment()}
		s := w.service()
		s.SetFleet([]infra.VM{replicaVM})
		poll := func() {
			s.pollOwned(t.Context())
			synctest.Wait()
			s.Refresh(time.Now())
		}
		poll()
		g.Expect(*s.Current().Replica("e1")).To(gomega.And(gomega.HaveField("State", StateUp),
			gomega.HaveField("Slots", 8), gomega.HaveField("InUse", 3), gomega.HaveField("Batch", 2), gomega.HaveField("Queued", 1)))
		w.prober["a1"] = backend.ErrUnreachable
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateDown))
		w.prober["a1"] = nil
		poll()
		g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
	})
}

// Guards against a drained or leaving backend server that still looks usable,
// at its owner or at the other nodes.
func TestDrainAndLeavingReachEveryNode(t *testing.T) {
	g := gomega.NewWithT(t)
	w := &world{self: "n1", prober: fakeProber{}, settings: deployment()}
	s := w.service()
	leaving := replicaVM
	leaving.Leaving = true
	s.SetFleet([]infra.VM{leaving})
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))

	s.SetFleet([]infra.VM{replicaVM})
	w.settings = deployment(settings.Backend{ID: "e1", Drain: true})
	s.Refresh(time.Now())
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))

	// A node that does not own the replica and has not heard of the drain
	// learns it from the owner's heartbeat.
	o := notOwner().service()
	o.SetFleet([]infra.VM{replicaVM})
	o.OnStatus("n1", s.CentreStatus())
	o.Refresh(time.Now())
	g.Expect(o.Current().Replica("e1").State).To(gomega.Equal(StateLeaving))
}

// Guards against a state that is believed long after its owner fell silent.
func TestPublishedStateExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	s := notOwner().service()
	s.SetFleet([]infra.VM{replicaVM})
	s.OnStatus("other", encodeStatus([]Status{{Replica: "e1", State: StateDown, Slots: 8}}))
	s.Refresh(time.Now())
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateDown))
	s.Refresh(time.Now().Add(statusValid + time.Second))
	g.Expect(s.Current().Replica("e1").State).To(gomega.Equal(StateUp))
}
