package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

// Guards against a panic in a hub that ends the node, or leaves its lock held so
// that no request is placed any more: the state of the group is dropped and rebuilt.
func TestHubSurvivesPanic(t *testing.T) {
	f := newFleet(t, oneReplica(2), "a", "b")
	held := <-f.place(t.Context(), "a")
	f.Expect(held).NotTo(gomega.BeNil())
	hub := f.nodes[f.hub()].hub
	before := contain.Count()
	hub.mu.Lock()
	hub.groups[testGroup].grants = nil // the next grant panics
	hub.mu.Unlock()
	var second core.ReplicaID
	f.Eventually(func() core.ReplicaID {
		if r := <-f.place(t.Context(), "b"); r != nil {
			second = r.Info().ID
		}
		return second
	}, testTimeout, "5ms").Should(gomega.Equal(held.Info().ID))
	f.Expect(contain.Count()).To(gomega.BeNumerically(">", before))
	hub.tick(time.Now())
	hub.mu.Lock()
	defer hub.mu.Unlock()
	state := hub.groups[testGroup]
	f.Expect(state == nil || state.grants != nil).To(gomega.BeTrue(), "the broken state was dropped")
}
