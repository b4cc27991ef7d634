package placement

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// firstReachable returns the first hub that a node of a data centre reaches while
// another data centre is cut off.
func firstReachable(view *nodes.View, self nodes.Record, g group, reaches func(core.DataCentre) bool) core.NodeID {
	byID := make(map[core.NodeID]nodes.Record)
	for _, r := range view.Alive {
		byID[r.ID] = r
	}
	for _, id := range newHubCandidates(view, self).hubs(g) {
		if reaches(byID[id].DataCentre) {
			return id
		}
	}
	return ""
}

// Guards against several hubs that grant the same slots while a data centre is cut
// off: the nodes that reach each other must agree on one hub, whichever data centre
// is cut off. When both of the first two hubs were in it, each other data centre
// used a hub of its own, and the replicas got almost twice the requests that they
// have slots for.
func TestNodesAgreeOnTheHubWhileADataCentreIsCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		dcs := rapid.IntRange(2, 6).Draw(t, "data centres")
		view := &nodes.View{Alive: make(map[string]nodes.Record)}
		for i := range dcs * rapid.IntRange(1, 8).Draw(t, "nodes per data centre") {
			r := nodes.Record{
				ID: core.NodeID(fmt.Sprintf("n%d", i)), Address: "127.0.0.1:1", DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", i%dcs)),
				CPUCores: rapid.SampledFrom([]float64{0.2, 0.5, 0.8}).Draw(t, "cores"),
			}
			view.Alive[r.Owner()] = r
		}
		cut := core.DataCentre(fmt.Sprintf("dc-%d", rapid.IntRange(0, dcs-1).Draw(t, "cut off")))
		testGroup := group{Service: core.DeploymentID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "service")), Count: 1}
		used := map[bool]core.NodeID{}
		for _, self := range view.Alive {
			inside := self.DataCentre == cut
			hub := firstReachable(view, self, testGroup, func(dc core.DataCentre) bool { return (dc == cut) == inside })
			g.Expect(hub).NotTo(gomega.BeEmpty())
			if used[inside] == "" {
				used[inside] = hub
			}
			g.Expect(hub).To(gomega.Equal(used[inside]), "node %s", self.ID)
		}
	})
}

// Guards against a second hub that is missing in a deployment of one data centre,
// and against hubs on small nodes, which are busy with their own requests.
func TestHubsAreLargeNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	view := &nodes.View{Alive: make(map[string]nodes.Record)}
	for i := range 20 {
		r := nodes.Record{ID: core.NodeID(fmt.Sprintf("n%d", i)), Address: "127.0.0.1:1", DataCentre: "dc-a", CPUCores: 0.2}
		if i%4 == 0 {
			r.CPUCores = 0.8
		}
		view.Alive[r.Owner()] = r
	}
	hubs := newHubCandidates(view, nodes.Record{ID: "n1", DataCentre: "dc-a"}).hubs(testGroup)
	g.Expect(len(hubs)).To(gomega.BeNumerically(">=", 2))
	for _, id := range hubs {
		g.Expect(view.Alive[string(id)+"/"].CPUCores).To(gomega.Equal(0.8), string(id))
	}
}
