package placement

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against reports of stalled replicas that go from every node to every
// other: 70 nodes sent 28,000 of them while a data centre with 24 replicas was cut
// off, and each opened a connection to every other node.
func TestStallsAreReportedToHubsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	log := slog.New(slog.DiscardHandler)
	registry := replica.NewRegistry()
	for i := range 153 {
		registry.Put(replica.Info{ID: core.ReplicaID(fmt.Sprintf("i-%d", i)), Service: "m", Slots: 7})
	}
	self := nodes.Record{ID: "n0", DataCentre: "dc-0", Address: "127.0.0.1:1"}
	s := New(Options{
		Transport: peer.New("n0", log), Registry: registry, Nodes: nodes.NewDirectory(infratest.NewRows(), self, log), Log: log,
	})
	view := &nodes.View{Alive: make(map[string]nodes.Record)}
	for i := range 295 {
		r := nodes.Record{ID: core.NodeID(fmt.Sprintf("n%d", i)), DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i%5)), Address: "127.0.0.1:1"}
		view.Alive[r.Owner()] = r
	}
	s.candidates.Store(newHubCandidates(view, self))
	for _, r := range registry.All() {
		g.Expect(len(s.hubsOf(r))).To(gomega.And(gomega.BeNumerically(">=", 3), gomega.BeNumerically("<=", sharedHubs+1)))
	}
}
